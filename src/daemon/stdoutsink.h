// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A log sink that writes to standard output and never waits for the reader.

#ifndef BEACONGATE_DAEMON_STDOUTSINK_H
#define BEACONGATE_DAEMON_STDOUTSINK_H

#include <glog/logging.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace beacongate
{
/// Buffers lines up to a bound; what does not fit is counted and left out.
class StdoutSink : public google::LogSink
{
public:
	/// @returns the process's sink.
	static StdoutSink& instance();

	/// @param[in] descriptor Where lines go; not changed to non-blocking, since others may share it.
	explicit StdoutSink(int _descriptor) : m_descriptor(_descriptor)
	{
	}

	void send(google::LogSeverity _severity, const char* _fullFilename, const char* _baseFilename, int _line,
			  const google::LogMessageTime& _time, const char* _message, std::size_t _length) override;

	/// Writes what the reader takes now.
	void flush();

	/// @returns lines that were left out so far.
	std::uint64_t dropped() const;

private:
	void writePending();

	int m_descriptor;
	mutable std::mutex m_mutex;
	std::string m_pending;
	std::uint64_t m_dropped = 0;
	std::uint64_t m_droppedTold = 0;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_STDOUTSINK_H
