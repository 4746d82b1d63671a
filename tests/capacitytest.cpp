// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests orders for capacity against a small model of a platform that boots, reclaims and refuses servers.

#include "coordination/capacityplanner.h"
#include "coordination/demandmeter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <deque>

namespace beacongate::test
{
namespace
{
constexpr Micros kTick = 250 * kMillisecond;

/// Backend servers of one kind in one data centre.
struct Pool
{
	unsigned running = 0;
	std::deque<Micros> booting; ///< When each will be running.
};

/// Model of the platform that carries out orders.
class ModelPlatform
{
public:
	ModelPlatform()
	{
		scaling.minimum = 1;
		scaling.maximum = 6;
		scaling.bootTime = 4 * kSecond;
		scaling.spotPrice = 0.2;
		scaling.zonePrices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
	}

	void step(const CapacityPlanner::Need& _need)
	{
		now += kTick;
		for (auto& [key, pool] : pools)
		{
			while (!pool.booting.empty() && pool.booting.front() <= now)
			{
				pool.booting.pop_front();
				++pool.running;
			}
		}
		std::map<std::string, ZoneCapacity> zones;
		for (const auto& [zone, price] : scaling.zonePrices)
		{
			zones[zone].onDemand = pools[{zone, false}].running;
			zones[zone].spot = pools[{zone, true}].running;
			zones[zone].reclaiming = reclaiming.count(zone) > 0 && now < reclaiming[zone];
		}
		for (const CapacityOrder& order : planner.plan(scaling, zones, _need, now))
		{
			++orders;
			const bool refused = order.spot && (noSpotUntil > now || noSpotUntilByZone[order.dataCentre] > now);
			planner.onAnswer(order, !refused, refused, now);
			if (!refused)
			{
				execute(order);
			}
		}
	}

	void run(const CapacityPlanner::Need& _need, Micros _span)
	{
		for (const Micros until = now + _span; now < until;)
		{
			step(_need);
		}
	}

	void reclaim(const std::string& _zone, Micros _span)
	{
		pools[{_zone, true}] = {};
		reclaiming[_zone] = now + 2 * kSecond;
		noSpotUntil = now + _span;
	}

	/// As reclaim(), but the other data centres still have spot capacity.
	void reclaimOneZone(const std::string& _zone, Micros _span)
	{
		pools[{_zone, true}] = {};
		reclaiming[_zone] = now + 2 * kSecond;
		noSpotUntilByZone[_zone] = now + _span;
	}

	unsigned count(bool _spot) const
	{
		unsigned sum = 0;
		for (const auto& [key, pool] : pools)
		{
			sum += key.second == _spot ? pool.running : 0;
		}
		return sum;
	}

	ScalingSettings scaling;
	CapacityPlanner planner;
	std::map<std::pair<std::string, bool>, Pool> pools;
	std::map<std::string, Micros> reclaiming;
	Micros noSpotUntil = 0;
	std::map<std::string, Micros> noSpotUntilByZone;
	Micros now = kSecond;
	unsigned orders = 0;

private:
	void execute(const CapacityOrder& _order)
	{
		Pool& pool = pools[{_order.dataCentre, _order.spot}];
		while (pool.running + pool.booting.size() > _order.count && !pool.booting.empty())
		{
			pool.booting.pop_back();
		}
		pool.running = std::min(pool.running, _order.count);
		while (pool.running + pool.booting.size() < _order.count)
		{
			pool.booting.push_back(now + scaling.bootTime);
		}
	}
};
} // namespace

TEST(CapacityPlanner, spotReplacesOnDemandWithoutALossOfCapacity)
{
	ModelPlatform platform;
	platform.pools[{"a", false}].running = 3;
	platform.pools[{"b", false}].running = 2;
	platform.pools[{"c", false}].running = 2;
	platform.pools[{"d", false}].running = 2;
	for (int tick = 0; tick < 100; ++tick)
	{
		platform.step({6, 4, true});
		EXPECT_GE(platform.count(true) + platform.count(false), 4u);
	}
	EXPECT_EQ(platform.count(true), 6u);
	EXPECT_EQ(platform.count(false), 0u);
	const unsigned settled = platform.orders;
	platform.run({6, 4, true}, 10 * kSecond);
	EXPECT_EQ(platform.orders, settled) << "orders whose capacity runs were sent again";
}

TEST(CapacityPlanner, onDemandCapacityIsKeptUntilAllOfItIsListed)
{
	ModelPlatform platform;
	platform.pools[{"a", false}].running = 1;
	platform.run({4, 4, false}, 3 * kSecond);
	EXPECT_EQ(platform.count(false), 1u);
	platform.run({4, 4, false}, 10 * kSecond);
	EXPECT_EQ(platform.count(true), 4u);
	EXPECT_EQ(platform.count(false), 1u);
}

TEST(CapacityPlanner, aRestartedPlannerKeepsTheRunningCapacityUntilItKnowsTheLoad)
{
	ScalingSettings scaling;
	scaling.minimum = 1;
	scaling.maximum = 10;
	scaling.zonePrices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
	CapacityPlanner::Observation seen;
	seen.work = 0.4;
	seen.running = 30;
	seen.listed = true;
	const CapacityPlanner::Need unknown = CapacityPlanner::needFor(scaling, seen);
	EXPECT_GE(unknown.desired, 30U) << "spot was cut to a tenth before its load was known";
	EXPECT_GE(unknown.required, 30U);
	seen.settled = true;
	const CapacityPlanner::Need known = CapacityPlanner::needFor(scaling, seen);
	EXPECT_LT(known.desired, 10U);
	EXPECT_LT(known.required, 5U);
	seen.settled = false;
	seen.firstStart = true;
	seen.work = 0.0;
	seen.running = 4;
	const CapacityPlanner::Need first = CapacityPlanner::needFor(scaling, seen);
	EXPECT_EQ(first.desired, CapacityPlanner::initialServers(scaling));
	EXPECT_TRUE(first.noLoadYet);
}

TEST(InitialListing, serversThatAreOrderedLaterAreNotWaitedFor)
{
	InitialListing listing;
	Micros now = kSecond;
	EXPECT_FALSE(listing.complete(0, now)) << "records arrive one by one";
	EXPECT_FALSE(listing.complete(2, now += kSecond));
	EXPECT_FALSE(listing.complete(2, now += InitialListing::kSettleTime));
	EXPECT_TRUE(listing.complete(2, now += kSecond));
	EXPECT_TRUE(listing.complete(9, now += kSecond)) << "servers ordered during reclaims are waited for";
	EXPECT_EQ(listing.onDemand(), 9u);
}

TEST(CapacityPlanner, beforeAnyLoadBootingSpotIsNotReplacedOnDemand)
{
	ModelPlatform platform;
	platform.pools[{"a", false}].running = 4;
	for (int tick = 0; tick < 40; ++tick)
	{
		platform.step({8, 5, true, true});
		EXPECT_LE(platform.count(false), 4u);
		const Pool& cheapest = platform.pools[{"b", false}];
		EXPECT_EQ(cheapest.running + cheapest.booting.size(), 0u);
	}
	EXPECT_EQ(platform.count(true), 8u);
	EXPECT_EQ(platform.count(false), 0u);
}

TEST(CapacityPlanner, spotThatIsRefusedBeforeAnyLoadIsReplacedOnDemand)
{
	ModelPlatform platform;
	platform.noSpotUntil = 60 * kSecond;
	platform.run({8, 5, true, true}, 8 * kSecond);
	EXPECT_EQ(platform.count(true), 0u);
	EXPECT_EQ(platform.count(false), 5u);
}

TEST(CapacityPlanner, aReclaimWithoutOtherSpotCapacityIsReplacedOnDemandForAWhile)
{
	ModelPlatform platform;
	platform.run({8, 5, true}, 10 * kSecond);
	ASSERT_EQ(platform.count(true), 8u);
	platform.reclaim("a", 13 * kSecond);
	platform.reclaim("b", 13 * kSecond);
	platform.run({8, 5, true}, 6 * kSecond);
	// Five are required, and the next reclaim would take two of the four running ones.
	EXPECT_EQ(platform.count(true), 4u);
	EXPECT_EQ(platform.count(false), 3u);
	platform.run({8, 5, true}, 25 * kSecond);
	EXPECT_EQ(platform.count(true), 8u);
	EXPECT_EQ(platform.count(false), 0u);
}

TEST(CapacityPlanner, spotThatOneDataCentreRefusesIsOrderedInTheOthers)
{
	ModelPlatform platform;
	platform.run({12, 6, true}, 10 * kSecond);
	ASSERT_EQ(platform.count(true), 12u);
	platform.reclaimOneZone("a", 15 * kSecond);
	platform.run({12, 6, true}, 6 * kSecond);
	EXPECT_GE(platform.count(true), 12u);
	EXPECT_EQ(platform.count(false), 0u);
	const unsigned orders = platform.orders;
	platform.run({12, 6, true}, 8 * kSecond);
	EXPECT_GE(platform.count(true), 12u);
	EXPECT_LE(platform.orders - orders, 5u) << "only the data centre without spot capacity is asked again";
	platform.run({12, 6, true}, 25 * kSecond);
	EXPECT_EQ(platform.count(true), 12u);
	const auto spotIn = [&](const char* _zone)
	{
		return platform.pools[{_zone, true}].running;
	};
	EXPECT_EQ(spotIn("a"), 3u);
}

/// Two of four data centres are reclaimed within 3.5 s and have no spot capacity then. A planner that spreads
/// the desired 39 over all four data centres releases half of the 44 running servers; when the other two are
/// reclaimed 1 s later, 15 servers run where 32 are needed.
TEST(CapacityPlanner, noRunningServerIsReleasedBeforeItsReplacementRuns)
{
	ModelPlatform platform;
	platform.scaling.maximum = 56;
	platform.run({88, 44, true}, 10 * kSecond);
	ASSERT_EQ(platform.count(true), 88u);
	platform.reclaim("a", 14 * kSecond);
	platform.run({36, 35, true}, 3500 * kMillisecond);
	platform.reclaim("b", 14 * kSecond);
	for (int tick = 0; tick < 44; ++tick)
	{
		platform.step({39, 37, true});
		EXPECT_GE(platform.count(true), 44u) << "at tick " << tick;
	}
	// Once all data centres have spot capacity again, the surplus is released, and no more than that.
	for (int tick = 0; tick < 120; ++tick)
	{
		platform.step({39, 37, true});
		EXPECT_GE(platform.count(true), 39u) << "at tick " << tick;
	}
	EXPECT_EQ(platform.count(true), 39u);
	EXPECT_EQ(platform.count(false), 0u);
}

/// All four data centres are reclaimed within 18 s and have no spot capacity for 14 s each. If on-demand
/// servers are ordered only after a reclaim took the servers that they replace, 22 engines run after the third
/// reclaim and 15 after the fourth.
TEST(CapacityPlanner, withoutSpotCapacityTheNextReclaimIsReplacedBeforehand)
{
	constexpr unsigned kRequired = 37;
	ModelPlatform platform;
	platform.scaling.maximum = 56;
	platform.run({88, kRequired, true}, 10 * kSecond);
	const std::vector<std::pair<std::string, Micros>> reclaims{
		{"a", 3500 * kMillisecond}, {"b", 6 * kSecond}, {"c", 8500 * kMillisecond}, {"d", 6 * kSecond}};
	for (const auto& [zone, span] : reclaims)
	{
		platform.reclaim(zone, 14 * kSecond);
		for (const Micros until = platform.now + span; platform.now < until;)
		{
			platform.step({39, kRequired, true});
			EXPECT_GE(platform.count(true) + platform.count(false), kRequired) << "after the reclaim of " << zone;
		}
	}
	platform.run({39, kRequired, true}, 30 * kSecond);
	EXPECT_EQ(platform.count(false), 0u);
}

RC_GTEST_PROP(CapacityPlanner, ordersStayWithinTheLimits, (const std::vector<std::uint8_t>& needs))
{
	ModelPlatform platform;
	for (const std::uint8_t need : needs)
	{
		platform.step({need % 40u, need % 30u, true});
		for (const auto& [zone, price] : platform.scaling.zonePrices)
		{
			const unsigned spot = platform.pools[{zone, true}].running;
			RC_ASSERT(spot <= platform.scaling.maximum);
		}
	}
}

TEST(CapacityPlanner, moreWorkNeverNeedsFewerServers)
{
	for (double work = 0.0; work < 50.0; work += 0.1)
	{
		EXPECT_LE(CapacityPlanner::serversDesired(work), CapacityPlanner::serversDesired(work + 0.1));
		EXPECT_LE(CapacityPlanner::serversRequired(work), CapacityPlanner::serversDesired(work));
		EXPECT_GE(CapacityPlanner::serversRequired(work), work);
	}
}

RC_GTEST_PROP(CapacityPlanner, slotsAreNeitherLeftFullNorMostlyEmpty, ())
{
	// Requests hold their slots for long, and the prefill of other prompts slows them down.
	const double reading = *rc::gen::inRange(0, 300) / 10.0;
	const double holding = *rc::gen::inRange(0, 300) / 10.0;
	double running = *rc::gen::inRange(1, 40);
	double held = 0.0;
	for (int round = 0; round < 12; ++round)
	{
		const double pace = std::max(0.05, 1.0 - reading / running);
		held = std::min(running, holding / pace);
		running = CapacityPlanner::serversDesired(CapacityPlanner::combinedWork(reading, holding));
	}
	RC_ASSERT(held / running < 0.8);
	const double busy = reading + holding / 0.65;
	RC_ASSERT(running < 2.0 + busy + std::max(busy, 2.0 * std::sqrt(busy) + 3.0));
}

TEST(DemandMeter, countsHeldSlotsOfThisGatewayAndItsPeersOnce)
{
	DemandMeter meter;
	Micros now = kSecond;
	double held = 0.0;
	for (int tick = 0; tick < 200; ++tick)
	{
		now += 100 * kMillisecond;
		held += 0.1;
		meter.onReport("b", 5, {"model", held, held});
		meter.onReport("b", 5, {"model", held, held - 0.05}); // A late report.
		meter.onArrival("model", 0.0, 0.8, 4);                // Eight slots, four per engine: two engines.
		meter.advance(now);
	}
	EXPECT_NEAR(meter.occupied("model"), 3.0, 0.2);
}

TEST(DemandMeter, countsTheWorkOfPeersOnceAndForgetsAPeak)
{
	DemandMeter meter;
	Micros now = kSecond;
	double reportedWork = 0.0;
	for (int tick = 0; tick < 200; ++tick)
	{
		now += 100 * kMillisecond;
		reportedWork += 0.2; // Two seconds of work each second.
		meter.onReport("b", 5, {"model", reportedWork, 0.0});
		meter.onReport("b", 5, {"model", reportedWork - 0.1, 0.0}); // A late report.
		meter.advance(now);
	}
	EXPECT_NEAR(meter.work("model"), 2.0, 0.2);
	EXPECT_TRUE(meter.settled("model", now));
	for (int tick = 0; tick < 400; ++tick)
	{
		now += 100 * kMillisecond;
		meter.advance(now);
	}
	EXPECT_LT(meter.work("model"), 0.2);
	// The peer restarted and is first heard now: its old work is not new work.
	meter.onReport("b", 6, {"model", 100.0, 0.0});
	meter.advance(now + kSecond);
	EXPECT_LT(meter.work("model"), 0.2);
}

} // namespace beacongate::test
