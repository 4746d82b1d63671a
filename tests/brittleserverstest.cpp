// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests what brittle backend servers get from fleets of gateways, in virtual time.

#include "brittlefleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr double kMinServedShare = 0.5;

/// Plain services with short calls, and engines with long streams.
std::vector<Fleet> fleets()
{
	std::vector<Fleet> fleets;
	for (const double demand : {0.5, 1.0, 1.5, 3.0})
	{
		for (const double rejections : {3.0, 10.0})
		{
			fleets.push_back({3, 4, 6, 60 * kMillisecond, demand, rejections, 150 * kMillisecond, 0});
			fleets.push_back({8, 4, 6, 60 * kMillisecond, demand, rejections, 150 * kMillisecond, 0});
			fleets.push_back({8, 9, 64, 2 * kSecond, demand, rejections, 150 * kMillisecond, 0});
			fleets.push_back({40, 12, 6, 60 * kMillisecond, demand, rejections, 250 * kMillisecond, 2});
			fleets.push_back({40, 30, 64, 2 * kSecond, demand, rejections, 250 * kMillisecond, 2});
			fleets.push_back({300, 100, 64, 2 * kSecond, demand, rejections, 250 * kMillisecond, 2});
		}
	}
	return fleets;
}

} // namespace

TEST(BrittleServers, fleetsOfAnySizeKeepBrittleServersStanding)
{
	for (const Fleet& fleet : fleets())
	{
		const Outcome outcome = Simulation(fleet).run(kSpan);
		EXPECT_LE(outcome.falls, 2 + fleet.servers / 10) << describe(fleet);
		EXPECT_GE(outcome.servedShare, kMinServedShare) << describe(fleet);
	}
}

TEST(BrittleServers, theSameServersFallOverUnderGatewaysThatDoNotKnow)
{
	Fleet fleet;
	fleet.told = false;
	EXPECT_GT(Simulation(fleet).run(kSpan).falls, 2 + fleet.servers / 10);
}

TEST(BrittleServers, serverThatIsBrittleNoMoreIsNotNarrowed)
{
	BrittleServers brittle;
	Balancer balancer("z");
	KnownBackend backend;
	backend.key = BackendKey("a");
	backend.record.slots = 1;
	brittle.setMembers(100, 7, kSecond);
	brittle.onAnswer(backend.key, 0.0);
	EXPECT_EQ(brittle.size(), 1u);
	Availability available;
	available.open = {&backend};
	brittle.narrow(available, balancer, 0);
	EXPECT_TRUE(available.open.empty());
	EXPECT_TRUE(available.limited);
	brittle.onAnswer(backend.key, std::nullopt);
	available = {};
	available.open = {&backend};
	brittle.narrow(available, balancer, 0);
	EXPECT_EQ(available.open.size(), 1u);
}

} // namespace beacongate::test
