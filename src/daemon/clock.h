// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Monotonic time and incarnation numbers of the daemons.

#ifndef BEACONGATE_DAEMON_CLOCK_H
#define BEACONGATE_DAEMON_CLOCK_H

#include "beacongate/types.h"

#include <chrono>

namespace beacongate
{
/// @returns the monotonic time in microseconds.
inline Micros monotonicNow()
{
	const auto now = std::chrono::steady_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// @returns an incarnation number, which is larger for a process that starts later on the same VM.
inline std::uint64_t newIncarnation()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace beacongate

#endif // BEACONGATE_DAEMON_CLOCK_H
