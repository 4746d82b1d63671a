// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The finding "a team runs 2% more than its quota while all gateways are restarted".
///
/// What was seen: on a deployment of 87 gateways all are killed at 9 s and again at 13 s, while a team asks for
/// five times its usual from 8 s to 17 s. From 6.4 s to 14.4 s it ran 11.3 to 12.6 million tokens where 11.06
/// million are tolerated.
///
/// Causes, from these tests: each gateway began with the same kept level; and for about a second after its start a
/// gateway knows nothing of what the others let through, so that each admits what comes while its own level is
/// above nothing; the more a team asks for, the more that is.

#include "quotafleet.h"

namespace beacongate::test
{
TEST(QuotaRestart, aTeamThatAsksForFiveTimesItsLimitKeepsItWhileAllGatewaysAreRestartedTwice)
{
	playRestartsOfALargeFleet(5.0, true);
}

/// The kept level is still high where the team has turned hot 0.6 s before. Before, each gateway began with 0.8 of
/// it: 11.65 of 11.03 million tokens. After, shared by the gateways: 11.01.
TEST(QuotaRestart, whatWasLeftOfABucketIsSharedByThoseThatStart)
{
	constexpr std::size_t kJustHot = 4;
	playRestartsOfALargeFleet(5.0, true, kJustHot);
}

} // namespace beacongate::test
