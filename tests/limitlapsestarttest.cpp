// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against servers that name limits getting more where gateways start while the leases of others have run
/// out.

#include "limitfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
TEST(LimitLapseStart, limitIsKeptWhileGatewaysStartAfterAllLeasesRanOut)
{
	constexpr double kMinUsedShare = 0.8;
	for (const unsigned gateways : {8u, 16u, 40u, 78u})
	{
		for (std::uint64_t seed = 1; seed <= 5; ++seed)
		{
			const LimitFleet fleet{.gateways = gateways, .limit = 4.0, .churn = Churn::LapseAndStarts};
			const LimitOutcome outcome = LimitSimulation(fleet, seed).run();
			const double allowed = kLimitTolerance * fleet.limit * secondsOf(kLimitWindow) + kLimitSlack;
			EXPECT_LE(static_cast<double>(outcome.most), allowed) << describe(fleet) << ", seed " << seed;
			EXPECT_GE(outcome.usedShare, kMinUsedShare) << describe(fleet) << ", seed " << seed;
		}
	}
}

} // namespace beacongate::test
