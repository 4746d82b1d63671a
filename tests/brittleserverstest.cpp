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
		const Outcome outcome = Simulation(fleet).run();
		EXPECT_LE(outcome.falls, 2 + fleet.servers / 10) << describe(fleet);
		EXPECT_GE(outcome.servedShare, kMinServedShare) << describe(fleet);
	}
}

TEST(BrittleServers, theSameServersFallOverUnderGatewaysThatDoNotKnow)
{
	Fleet fleet;
	fleet.told = false;
	EXPECT_GT(Simulation(fleet).run().falls, 2 + fleet.servers / 10);
}

TEST(BrittleServers, serviceIsBrittleNoMoreOnceNoServerSaysSo)
{
	BrittleServices services;
	EXPECT_TRUE(services.onAnswer(kService, 0.0, kSecond));
	EXPECT_FALSE(services.onAnswer(kService, std::nullopt, 2 * kSecond)); // A server that has just started.
	EXPECT_EQ(services.rejectionsOf(kService, 2 * kSecond), 0.0);
	EXPECT_EQ(services.rejectionsOf(kService, kSecond + BrittleServices::kValidity), std::nullopt);
	services.expire(kSecond + BrittleServices::kValidity);
	EXPECT_EQ(services.size(), 0u);
}

TEST(BrittleServers, statementReachesGatewaysThatHeardNoServer)
{
	BrittleServices heard;
	BrittleServices other;
	heard.onAnswer(kService, 3.0, kSecond);
	EXPECT_EQ(other.merge(heard.takeChanges(false, 1, kSecond), kSecond).size(), 1u);
	EXPECT_EQ(other.rejectionsOf(kService, kSecond), 3.0);
	EXPECT_TRUE(other.takeChanges(false, 1, kSecond).empty()); // Collectors alone pass on what others heard.
	EXPECT_EQ(other.takeChanges(true, 1, kSecond).size(), 1u);
}

TEST(BrittleServers, serverWhoseGrantorDeniedASlotIsPassedOver)
{
	Balancer balancer("z");
	SlotGrantor grantor;
	SlotPermits permits(balancer, grantor, "a", 0);
	permits.setMembers({{"a", "z", 0}});
	KnownBackend backend;
	backend.key = BackendKey("server");
	Availability available;
	available.open = {&backend};
	const SlotNeed need{backend.key, 1, 3.0, 0, 0};
	SlotTicket first;
	EXPECT_EQ(permits.take(first, need, 0, [] {}), SlotVerdict::Granted);
	balancer.onSent(backend.key, {});
	SlotTicket second;
	EXPECT_EQ(permits.take(second, need, 0, [] {}), SlotVerdict::Denied);
	permits.narrow(available, second, 0);
	EXPECT_TRUE(available.open.empty());
	EXPECT_TRUE(available.limited);
	available = {};
	available.open = {&backend};
	permits.narrow(available, second, SlotPermits::kDeniedSpan);
	EXPECT_EQ(available.open.size(), 1u);
}

} // namespace beacongate::test
