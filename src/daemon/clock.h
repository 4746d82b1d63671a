// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Monotonic time and incarnation numbers of the daemons.

#ifndef BEACONGATE_DAEMON_CLOCK_H
#define BEACONGATE_DAEMON_CLOCK_H

#include "beacongate/types.h"

#include <chrono>
#include <ctime>

namespace beacongate
{
/// @returns the monotonic time in microseconds.
/// @remarks It counts the time in which the VM was suspended, which the clock of std::chrono::steady_clock does
/// not: keys that were revoked meanwhile, leases and lists of backend servers would be taken for as recent as
/// before. Timers of the event loop run on the latter and fire late by such a span, so that their handlers compare
/// times themselves.
inline Micros monotonicNow()
{
	constexpr Micros kNanosPerMicro = 1000;
	timespec now{};
	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * kSecond + now.tv_nsec / kNanosPerMicro;
}

/// @returns an incarnation number, which is larger for a process that starts later on the same VM.
inline std::uint64_t newIncarnation()
{
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace beacongate

#endif // BEACONGATE_DAEMON_CLOCK_H
