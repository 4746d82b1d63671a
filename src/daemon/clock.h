// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The one place where the daemons read a clock.

#ifndef BEACONGATE_DAEMON_CLOCK_H
#define BEACONGATE_DAEMON_CLOCK_H

#include "beacongate/types.h"

#include <chrono>

namespace beacongate
{
/// @returns monotonic time.
inline Micros monotonicNow()
{
	const auto now = std::chrono::steady_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

/// @returns a number that a later start of a process on the same VM makes larger.
inline std::uint64_t newIncarnation()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace beacongate

#endif // BEACONGATE_DAEMON_CLOCK_H
