// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/stdoutsink.h"

#include <algorithm>
#include <climits>
#include <ctime>
#include <poll.h>
#include <unistd.h>

namespace beacongate
{
namespace
{
constexpr std::size_t kMaxPendingBytes = 256u << 10;

char severityLetter(google::LogSeverity _severity)
{
	return _severity >= google::GLOG_ERROR ? 'E' : _severity == google::GLOG_WARNING ? 'W' : 'I';
}

std::string timeText(const google::LogMessageTime& _time)
{
	char text[32];
	std::snprintf(text, sizeof text, "%02d:%02d:%02d.%06d", _time.hour(), _time.min(), _time.sec(),
				  static_cast<int>(_time.usec()));
	return text;
}
} // namespace

StdoutSink& StdoutSink::instance()
{
	static StdoutSink sink(STDOUT_FILENO);
	return sink;
}

void StdoutSink::send(google::LogSeverity _severity, const char* /*fullFilename*/, const char* /*baseFilename*/,
					  int /*line*/, const google::LogMessageTime& _time, const char* _message, std::size_t _length)
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	if (m_pending.size() + _length > kMaxPendingBytes)
	{
		++m_dropped;
		writePending();
		return;
	}
	if (m_dropped != m_droppedReported)
	{
		m_pending += "W event=log-lines-left-out total=" + std::to_string(m_dropped) + "\n";
		m_droppedReported = m_dropped;
	}
	m_pending += severityLetter(_severity);
	m_pending += ' ';
	m_pending += timeText(_time);
	m_pending += ' ';
	m_pending.append(_message, _length);
	m_pending += '\n';
	writePending();
}

void StdoutSink::writePending()
{
	while (!m_pending.empty())
	{
		pollfd ready{m_descriptor, POLLOUT, 0};
		if (poll(&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
		{
			return;
		}
		// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
		const std::size_t size = std::min<std::size_t>(m_pending.size(), PIPE_BUF);
		const ssize_t written = write(m_descriptor, m_pending.data(), size);
		if (written <= 0)
		{
			return;
		}
		m_pending.erase(0, static_cast<std::size_t>(written));
	}
}

void StdoutSink::flush()
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	writePending();
}

std::uint64_t StdoutSink::dropped() const
{
	const std::lock_guard<std::mutex> guard(m_mutex);
	return m_dropped;
}

} // namespace beacongate
