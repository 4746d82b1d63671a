// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the placement among servers of different speeds against even servers that are disturbed as much.

#include "unevenfleet.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace beacongate::test
{
namespace
{
constexpr double kMaxRatio = 1.2; ///< Bound of docs/design/hard-load.md, "Requirements".

/// The test's parameter is the load, as a share of the capacity.
class UnevenServers : public testing::TestWithParam<double>
{
protected:
	static void check(const char* _what, const Workload& _work)
	{
		const Result even = runOf(_work, Fleet::Even, GetParam());
		const Result uneven = runOf(_work, Fleet::Uneven, GetParam());
		const Result blind = runOf(_work, Fleet::UnevenBlind, GetParam());
		std::printf("%s at %.2f: late %.3f %% at even servers, %.3f %% at uneven ones, %.3f %% without speeds\n",
					_what, GetParam(), 100.0 * even.lateShare(), 100.0 * uneven.lateShare(),
					100.0 * blind.lateShare());
		EXPECT_LE(uneven.lateShare(), kMaxRatio * even.lateShare());
		EXPECT_LT(uneven.lateShare(), blind.lateShare());
	}
};
} // namespace

/// Guards against slow servers that get as much work as fast ones, so that their callers wait.
TEST_P(UnevenServers, promptsAreAsSeldomLateAsAtEvenServers)
{
	check("prompts", kPrompts);
}

/// As above, for calls of plain services.
TEST_P(UnevenServers, callsAreAsSeldomLateAsAtEvenServers)
{
	check("calls", kCalls);
}

INSTANTIATE_TEST_SUITE_P(Loads, UnevenServers, testing::Values(0.5, 0.7, 0.85, 0.95));

} // namespace beacongate::test
