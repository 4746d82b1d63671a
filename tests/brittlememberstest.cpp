// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against brittle backend servers falling over while the members of the fleet change, in virtual time.

#include "brittlefleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr double kMinServedShare = 0.5;
constexpr Micros kChurnSpan = 25 * kSecond;
constexpr Micros kReportInterval = 250 * kMillisecond;

/// Plain services with short calls, and engines with long streams.
std::vector<Fleet> fleets(Churn _churn, unsigned _seed)
{
	std::vector<Fleet> fleets;
	for (const unsigned gateways : {8u, 40u, 78u})
	{
		for (const double demand : {0.5, 2.0})
		{
			fleets.push_back({gateways, 4, 4, 60 * kMillisecond, demand, 3.0, kReportInterval, 2});
			fleets.push_back({gateways, 12, 12, kSecond, demand, 3.0, kReportInterval, 2});
		}
	}
	for (Fleet& fleet : fleets)
	{
		fleet.churn = _churn;
		fleet.seed = _seed;
	}
	return fleets;
}

void expectStanding(Churn _churn)
{
	for (const unsigned seed : {1u, 2u, 3u})
	{
		for (const Fleet& fleet : fleets(_churn, seed))
		{
			const auto outcome = Simulation(fleet, kChurnSpan).run();
			EXPECT_LE(outcome.falls, 2 + fleet.servers / 10) << describe(fleet);
			EXPECT_GE(outcome.servedShare, kMinServedShare) << describe(fleet);
		}
	}
}
} // namespace

TEST(BrittleMembers, serversStandWhileGatewaysStopOneAtATime)
{
	expectStanding(Churn::OneAtATime);
}

TEST(BrittleMembers, serversStandWhileHalfOfTheGatewaysAreKilledAtOnce)
{
	expectStanding(Churn::HalfAtOnce);
}

TEST(BrittleMembers, serversStandWhileAllGatewaysRestartInSeries)
{
	expectStanding(Churn::Rolling);
}

TEST(BrittleMembers, serversStandWhileGatewaysAreAdded)
{
	expectStanding(Churn::Added);
}

TEST(BrittleMembers, serversStandAfterAllLeasesRanOut)
{
	expectStanding(Churn::Lapse);
}

TEST(BrittleMembers, serversStandWhileGatewaysStartAfterAllLeasesRanOut)
{
	expectStanding(Churn::LapseAndStarts);
}

} // namespace beacongate::test
