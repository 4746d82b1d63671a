// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A gateway in its own process, which a soak starts, and stops, pauses or kills by signals.

#ifndef BEACONGATE_TOOLS_SOAK_GATEWAYPROCESS_H
#define BEACONGATE_TOOLS_SOAK_GATEWAYPROCESS_H

#include "beacongate/types.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <sys/types.h>

namespace beacongate::soak
{
/// The gateway of one VM.
class GatewayProcess
{
public:
	/// @param[in] _program Path of the program.
	/// @param[in] _settings Path of its settings file.
	/// @param[in] _log Path of the file that its output is appended to.
	GatewayProcess(std::string _program, std::string _settings, std::string _log);
	~GatewayProcess();
	GatewayProcess(const GatewayProcess&) = delete;
	GatewayProcess& operator=(const GatewayProcess&) = delete;

	/// Starts the process, which must not be running.
	void start();

	/// Sets the program that the next start() runs.
	void setProgram(const std::string& _program)
	{
		m_program = _program;
	}

	/// Sends a signal to the process, if it runs.
	void signal(int _signal) const;

	/// @returns true if the process has ended; its process id may be reused from then on.
	bool ended();

	/// Kills the process and waits for its end.
	void kill();

	/// @returns the number of times the process was started.
	std::uint64_t starts() const
	{
		return m_starts;
	}

	/// @returns true if the process runs.
	bool running() const
	{
		return m_pid != 0;
	}

	/// @returns the wait status of the ended process; 0 for a regular exit.
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
