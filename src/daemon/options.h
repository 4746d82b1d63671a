// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Settings from flags and environment variables, checked.

#ifndef BEACONGATE_DAEMON_OPTIONS_H
#define BEACONGATE_DAEMON_OPTIONS_H

#include "daemon/controlapp.h"
#include "daemon/entryapp.h"

namespace beacongate
{
/// Exit codes of all programs.
enum ExitCode : int
{
	kExitOk = 0,
	kExitRefused = 1,     ///< A change or query was refused; the reason is on standard error.
	kExitSettings = 2,    ///< A flag or environment variable is wrong.
	kExitUnreachable = 3, ///< A process did not answer.
	kExitUnknown = 4,     ///< It is not known whether a change took effect.
};

/// Reads the entry's settings.
/// @returns kExitOk where the program should go on; any other value, or `_ended`, ends it.
int readEntryOptions(int _argc, const char* const* _argv, EntryOptions& _options, bool& _ended);

/// Reads the control's settings.
int readControlOptions(int _argc, const char* const* _argv, ControlOptions& _options, bool& _ended);

/// Blocks SIGTERM and SIGINT in this thread and those it starts.
void blockStopSignals();

/// Waits until a stop signal comes or the span is over.
/// @returns whether a signal came.
bool waitForStopSignal(Micros _span);

} // namespace beacongate

#endif // BEACONGATE_DAEMON_OPTIONS_H
