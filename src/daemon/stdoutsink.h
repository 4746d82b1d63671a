// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A log sink that writes to standard output without blocking on its reader.

#ifndef BEACONGATE_DAEMON_STDOUTSINK_H
#define BEACONGATE_DAEMON_STDOUTSINK_H

#include <glog/logging.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace beacongate
{
/// Buffers lines up to a limit; lines that do not fit are dropped and counted.
class StdoutSink : public google::LogSink
{
public:
	/// @returns the sink of this process.
	static StdoutSink& instance();

	/// @param[in] _descriptor File descriptor that lines are written to. It stays in its blocking mode, since other
	/// processes may share it.
	explicit StdoutSink(int _descriptor) : m_descriptor(_descriptor)
	{
	}

	void send(google::LogSeverity _severity, const char* _fullFilename, const char* _baseFilename, int _line,
			  const google::LogMessageTime& _time, const char* _message, std::size_t _length) override;

	/// Writes buffered lines as far as the descriptor accepts them without blocking.
	void flush();

	/// @returns the number of lines dropped so far.
	std::uint64_t dropped() const;

private:
	void writePending();

	int m_descriptor;
	mutable std::mutex m_mutex;
	std::string m_pending;
	std::uint64_t m_dropped = 0;
	std::uint64_t m_droppedReported = 0;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_STDOUTSINK_H
