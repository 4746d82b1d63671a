// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A gateway as a process of its own, that a soak stops, pauses, kills and starts again by signals.

#ifndef BEACONGATE_TOOLS_SOAK_GATEWAYPROCESS_H
#define BEACONGATE_TOOLS_SOAK_GATEWAYPROCESS_H

#include "beacongate/types.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace beacongate::soak
{
/// One VM's gateway.
class GatewayProcess
{
public:
	/// @param[in] _program Path of the program.
	/// @param[in] _settings Path of its settings file.
	/// @param[in] _log Path that its output is appended to.
	GatewayProcess(std::string _program, std::string _settings, std::string _log);
	~GatewayProcess();
	GatewayProcess(const GatewayProcess&) = delete;
	GatewayProcess& operator=(const GatewayProcess&) = delete;

	/// Starts the process; it must not run.
	void start();

	/// Sets the program that the next start() runs.
	void setProgram(const std::string& _program)
	{
		m_program = _program;
	}

	/// Sends a signal to the process, if it runs.
	void signal(int _signal) const;

	/// @returns whether the process has ended; its number is free from then on.
	bool ended();

	/// Ends the process at once and waits for it.
	void kill();

	/// @returns how often the process was started.
	std::uint64_t starts() const
	{
		return m_starts;
	}

	/// @returns whether the process runs.
	bool running() const
	{
		return m_pid != 0;
	}

	/// @returns how the process ended, as the system tells; 0 for an end in order.
	int endStatus() const
	{
		return m_endStatus;
	}

private:
	std::string m_program;
	std::string m_settings;
	std::string m_log;
	std::atomic<pid_t> m_pid = 0;
	std::atomic<std::uint64_t> m_starts = 0;
	int m_endStatus = 0;
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_GATEWAYPROCESS_H
