// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/gatewayprocess.h"

#include "beacongate/errors.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace beacongate::soak
{
GatewayProcess::GatewayProcess(std::string _program, std::string _settings, std::string _log)
	: m_program(std::move(_program)), m_settings(std::move(_settings)), m_log(std::move(_log))
{
}

GatewayProcess::~GatewayProcess()
{
	kill();
}

void GatewayProcess::start()
{
	std::vector<std::string> arguments{m_program, "--settings", m_settings};
	std::vector<char*> pointers;
	pointers.reserve(arguments.size() + 1);
	for (std::string& argument : arguments)
	{
		pointers.push_back(argument.data());
	}
	pointers.push_back(nullptr);
	constexpr int kMode = 0644;
	posix_spawn_file_actions_t actions;
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
	posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
	// With a copy of a listening socket in the gateway's process, the port of a crashed backend server stays open.
	posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
	pid_t pid = 0;
	const int failed = posix_spawn(&pid, m_program.c_str(), &actions, nullptr, pointers.data(), environ);
	posix_spawn_file_actions_destroy(&actions);
	if (failed != 0)
	{
		throw Error(Failure::SettingInvalid, "cannot start " + m_program);
	}
	++m_starts;
	m_pid = pid;
}

void GatewayProcess::signal(int _signal) const
{
	if (m_pid != 0)
	{
		::kill(m_pid, _signal);
	}
}

bool GatewayProcess::ended()
{
	if (m_pid == 0)
	{
		return true;
	}
	if (waitpid(m_pid, &m_endStatus, WNOHANG) != m_pid)
	{
		return false;
	}
	m_pid = 0;
	return true;
}

void GatewayProcess::kill()
{
	if (m_pid == 0)
	{
		return;
	}
	signal(SIGCONT);
	signal(SIGKILL);
	waitpid(m_pid, &m_endStatus, 0);
	m_pid = 0;
}

} // namespace beacongate::soak
