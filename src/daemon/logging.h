// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Structured log lines: one event a line, as key=value.

#ifndef BEACONGATE_DAEMON_LOGGING_H
#define BEACONGATE_DAEMON_LOGGING_H

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace beacongate
{
/// How much an event matters.
enum class LogLevel
{
	Info,
	Warning,
	Error,
};

/// One field of an event.
using LogField = std::pair<std::string_view, std::string>;

/// Starts logging to standard error.
/// @param[in] _program Name of the program, for the log's lines.
void initLogging(const char* _program);

/// Writes one line: event=NAME key=value ...; values with spaces are quoted.
void logEvent(LogLevel _level, std::string_view _event, std::initializer_list<LogField> _fields);

/// @returns the line that logEvent() writes, without the logger's own prefix.
std::string formatEvent(std::string_view _event, std::initializer_list<LogField> _fields);

} // namespace beacongate

#endif // BEACONGATE_DAEMON_LOGGING_H
