// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against one of several requests that crash servers being sent more often than allowed once it is known.

#include "crashfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
TEST(CrashSeveralCulprits, noneIsSentMoreThanThreeTimesAfterTheContactSpan)
{
	for (const std::uint64_t seed : {135, 182, 493, 826})
	{
		CrashFleetCase fleet;
		fleet.culprits = 6;
		fleet.requestsASecond = 100.0;
		fleet.seed = seed;
		EXPECT_LE(CrashFleet(fleet).run().maxSendsAfter(3 * kSecond), 3u) << "seed " << seed;
	}
}

} // namespace beacongate::test
