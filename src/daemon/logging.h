// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Structured log lines: one event a line, as key=value.

#ifndef BEACONGATE_DAEMON_LOGGING_H
#define BEACONGATE_DAEMON_LOGGING_H

#include "beacongate/types.h"

#include <cstdint>
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

/// Starts logging to standard output without ever waiting for its reader: lines that do not fit a bounded
/// buffer are left out, and a line says how many.
void initStdoutLogging(const char* _program);

/// Writes what is buffered, as far as the reader takes it.
void flushStdoutLogging();

/// @returns lines that did not reach standard output.
std::uint64_t droppedLogLines();

/// Writes one line: event=NAME key=value ...; values with spaces are quoted.
void logEvent(LogLevel _level, std::string_view _event, std::initializer_list<LogField> _fields);

/// @returns a span in whole milliseconds, as a field's value.
inline std::string millisText(Micros _span)
{
	return std::to_string(_span / kMillisecond);
}

/// @returns the line that logEvent() writes, without the logger's own prefix.
std::string formatEvent(std::string_view _event, std::initializer_list<LogField> _fields);

} // namespace beacongate

#endif // BEACONGATE_DAEMON_LOGGING_H
