// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against servers that name limits getting more, or callers less, while the members of the fleet change.

#include "limitfleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace beacongate::test
{
namespace
{
constexpr double kMinUsedShare = 0.8;

void expectKeptAndUsed(const LimitFleet& _fleet, std::uint64_t _seed)
{
	const LimitOutcome outcome = LimitSimulation(_fleet, _seed).run();
	const double allowed = kLimitTolerance * _fleet.limit * secondsOf(kLimitWindow) + kLimitSlack;
	EXPECT_LE(static_cast<double>(outcome.most), allowed) << describe(_fleet) << ", seed " << _seed;
	EXPECT_GE(outcome.usedShare, kMinUsedShare) << describe(_fleet) << ", seed " << _seed;
}

/// Checks fleets of 3 to 300 gateways under limits of 0.5 to 30 requests a second.
void expectKeptAndUsedByAll(LimitFleet _fleet)
{
	for (const unsigned gateways : {3u, 8u, 40u, 78u, 300u})
	{
		for (const double limit : {0.5, 1.0, 4.0, 30.0})
		{
			_fleet.gateways = gateways;
			_fleet.limit = limit;
			expectKeptAndUsed(_fleet, 1);
		}
	}
}
} // namespace

TEST(LimitMembers, limitIsKeptWhileTheMembersStandStill)
{
	expectKeptAndUsedByAll({});
}

TEST(LimitMembers, limitIsKeptWhileGatewaysStopOneAtATime)
{
	expectKeptAndUsedByAll({.churn = Churn::OneAtATime});
	expectKeptAndUsedByAll({.churn = Churn::OneAtATime, .lag = 2 * kSecond});
}

TEST(LimitMembers, limitIsKeptWhileHalfOfTheGatewaysAreKilledAndStopped)
{
	expectKeptAndUsedByAll({.churn = Churn::HalfAtOnce});
}

TEST(LimitMembers, limitIsKeptWhileAllGatewaysStopInSeries)
{
	expectKeptAndUsedByAll({.churn = Churn::Rolling});
	expectKeptAndUsedByAll({.churn = Churn::Rolling, .lag = 2 * kSecond});
}

TEST(LimitMembers, limitIsKeptWhileGatewaysAreAdded)
{
	expectKeptAndUsedByAll({.churn = Churn::Added});
}

TEST(LimitMembers, limitIsKeptWhileAllLeasesRunOut)
{
	expectKeptAndUsedByAll({.churn = Churn::Lapse});
}

TEST(LimitMembers, limitIsKeptWhileGatewaysStandStillAndStopInSeries)
{
	expectKeptAndUsedByAll({.churn = Churn::Rolling, .standstill = 400 * kMillisecond});
}

TEST(LimitMembers, limitIsUsedByAGatewayThatGetsMostOfTheRequests)
{
	expectKeptAndUsedByAll({.crowdShare = 0.9});
}

} // namespace beacongate::test
