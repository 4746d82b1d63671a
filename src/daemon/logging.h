// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Structured logging: each line is one event with key=value fields.

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
/// Severity of an event.
enum class LogLevel
{
	Info,
	Warning,
	Error,
};

/// One field of an event.
using LogField = std::pair<std::string_view, std::string>;

/// Starts logging to standard error.
/// @param[in] _program Name of the program.
void initLogging(const char* _program);

/// Starts logging to standard output without blocking on its reader. Lines that do not fit into a bounded buffer
/// are dropped, and a later line gives their number.
void initStdoutLogging(const char* _program);

/// Writes buffered lines as far as standard output accepts them without blocking.
void flushStdoutLogging();

/// @returns the number of lines that were dropped instead of written to standard output.
std::uint64_t droppedLogLines();

/// Writes one line: event=NAME key=value ...; values that are empty or contain white space, quotes or '=' are
/// quoted.
void logEvent(LogLevel _level, std::string_view _event, std::initializer_list<LogField> _fields);

/// @returns a span in whole milliseconds, as the value of a field.
inline std::string millisText(Micros _span)
{
	return std::to_string(_span / kMillisecond);
}

/// @returns the line that logEvent() writes, without the logger's prefix.
std::string formatEvent(std::string_view _event, std::initializer_list<LogField> _fields);

} // namespace beacongate

#endif // BEACONGATE_DAEMON_LOGGING_H
