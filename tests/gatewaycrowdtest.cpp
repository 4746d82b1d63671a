// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests being refused by a gateway that gets most of the new connections.

#include "crowdfixture.h"

namespace beacongate::test
{
TEST_F(CrowdTest, requestsWithoutALimitAreServed)
{
	start(team(0, 0), 50 * kMillisecond);
	expectServedInACrowd(60);
}

TEST_F(CrowdTest, requestsOfATeamBelowItsLimitAreServed)
{
	start(team(120, 30), 50 * kMillisecond);
	expectServedInACrowd(60);
}

TEST_F(CrowdTest, requestsAreServedWhereServersAreNearlyFull)
{
	start(team(0, 0), 100 * kMillisecond);
	expectServedInACrowd(120);
}

} // namespace beacongate::test
