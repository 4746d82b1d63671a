// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Reads and validates settings from flags and environment variables.

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
	kExitRefused = 1,     ///< A change or query was rejected; the reason is on standard error.
	kExitSettings = 2,    ///< A flag or environment variable is invalid.
	kExitUnreachable = 3, ///< A process did not answer.
	kExitUnknown = 4,     ///< It is not known whether a change took effect.
};

/// Reads the entry's settings.
/// @param[out] _shouldExit True if the program has to exit with the returned code: after --help or --version, or
/// where a setting is invalid.
/// @returns the exit code; kExitOk where `_shouldExit` is false.
int readEntryOptions(int _argc, const char* const* _argv, EntryOptions& _options, bool& _shouldExit);

/// Reads the control process's settings, with the parameters and result of readEntryOptions().
int readControlOptions(int _argc, const char* const* _argv, ControlOptions& _options, bool& _shouldExit);

/// Blocks SIGTERM and SIGINT in this thread and the threads that it starts, and ignores SIGPIPE.
void blockStopSignals();

/// Waits until SIGTERM or SIGINT arrives or the span has elapsed.
/// @returns true if a signal arrived.
bool waitForStopSignal(Micros _span);

} // namespace beacongate

#endif // BEACONGATE_DAEMON_OPTIONS_H
