// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the placement among uneven, disturbed servers against even servers that nothing disturbs.

#include "unevenfleet.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace beacongate::test
{
namespace
{
constexpr double kMaxRatio = 1.2; ///< Bound of docs/design/hard-load.md, "Requirements".

/// The test's parameter is the load, as a share of the capacity.
class UndisturbedServers : public testing::TestWithParam<double>
{
protected:
	static void check(const char* _what, const Workload& _work)
	{
		const Result even = runOf(_work, Fleet::Undisturbed, GetParam());
		const Result uneven = runOf(_work, Fleet::Uneven, GetParam());
		std::printf("%s at %.2f: late %.3f %% at undisturbed even servers, %.3f %% at uneven ones\n", _what,
					GetParam(), 100.0 * even.lateShare(), 100.0 * uneven.lateShare());
		EXPECT_LE(uneven.lateShare(), kMaxRatio * even.lateShare());
	}
};
} // namespace

/// Guards against requests that are late because they are sent to a server while it is disturbed.
TEST_P(UndisturbedServers, promptsAreAsSeldomLateAsWithoutDisturbance)
{
	check("prompts", kPrompts);
}

/// As above, for calls of plain services.
TEST_P(UndisturbedServers, callsAreAsSeldomLateAsWithoutDisturbance)
{
	check("calls", kCalls);
}

INSTANTIATE_TEST_SUITE_P(Loads, UndisturbedServers, testing::Values(0.5, 0.7, 0.85, 0.95));

} // namespace beacongate::test
