// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/logging.h"

#include "daemon/stdoutsink.h"

#include <glog/logging.h>

namespace beacongate
{
namespace
{
void appendValue(std::string& _line, const std::string& _value)
{
	const bool isUnquoted = !_value.empty() && std::string::npos == _value.find_first_of(" \"=\n\t");
	if (isUnquoted)
	{
		_line += _value;
		return;
	}
	_line += '"';
	for (const char c : _value)
	{
		if ('"' == c || '\\' == c)
		{
			_line += '\\';
		}
		_line += '\n' == c ? ' ' : c;
	}
	_line += '"';
}
} // namespace

void initLogging(const char* _program)
{
	FLAGS_logtostderr = true;
	google::InitGoogleLogging(_program);
}

void initStdoutLogging(const char* _program)
{
	FLAGS_logtostderr = false;
	FLAGS_stderrthreshold = google::GLOG_FATAL;
	for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
	{
		google::SetLogDestination(static_cast<google::LogSeverity>(severity), "");
	}
	google::InitGoogleLogging(_program);
	google::AddLogSink(&StdoutSink::instance());
}

void flushStdoutLogging()
{
	StdoutSink::instance().flush();
}

std::uint64_t droppedLogLines()
{
	return StdoutSink::instance().dropped();
}

void logEvent(LogLevel _level, std::string_view _event, std::initializer_list<LogField> _fields)
{
	const std::string line = formatEvent(_event, _fields);
	switch (_level)
	{
	case LogLevel::Info:
		LOG(INFO) << line;
		break;
	case LogLevel::Warning:
		LOG(WARNING) << line;
		break;
	case LogLevel::Error:
		LOG(ERROR) << line;
		break;
	}
}

std::string formatEvent(std::string_view _event, std::initializer_list<LogField> _fields)
{
	std::string line = "event=";
	line += _event;
	for (const auto& [key, value] : _fields)
	{
		line += ' ';
		line += key;
		line += '=';
		appendValue(line, value);
	}
	return line;
}

} // namespace beacongate
