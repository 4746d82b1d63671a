// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Waits for a condition instead of a fixed time.

#ifndef BEACONGATE_TESTS_AWAIT_H
#define BEACONGATE_TESTS_AWAIT_H

#include "daemon/clock.h"

#include <functional>
#include <thread>

namespace beacongate::test
{
/// Polls a condition until it holds or the span is over.
/// @returns true if the condition held.
inline bool await(const std::function<bool()>& _check, Micros _span = 20 * kSecond)
{
	const Micros until = monotonicNow() + _span;
	while (monotonicNow() < until)
	{
		if (_check())
		{
			return true;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	return false;
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_AWAIT_H
