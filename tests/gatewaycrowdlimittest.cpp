// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that gets most of the new connections leaving the turns of other gateways unused.

#include "crowdfixture.h"

namespace beacongate::test
{
TEST_F(CrowdTest, requestsAreServedBelowTheLimitsThatServersName)
{
	start(team(0, 0), 20 * kMillisecond);
	for (auto& worker : workers)
	{
		worker->setLimit("30");
	}
	expectServedInACrowd(60);
}

} // namespace beacongate::test
