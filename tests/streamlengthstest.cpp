// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the load estimate of the capacity plan where too few engines run.

#include "coordination/streamlengths.h"
#include "coordination/capacityplanner.h"
#include "coordination/demandmeter.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr unsigned kEvents = 40;
constexpr Micros kEventInterval =
	30 * kMillisecond; ///< Time between two events at an engine that is not overloaded.

void addStreams(StreamLengths& _lengths, Micros _eventInterval, int _streams)
{
	for (int number = 0; number < _streams; ++number)
	{
		_lengths.onStream("model", "route", kEvents, _eventInterval * (kEvents - 1));
	}
}
} // namespace

TEST(StreamLengths, theHoldTimeIsUnknownBeforeTheFirstStream)
{
	StreamLengths lengths;
	EXPECT_EQ(lengths.holdSeconds("model", "route"), 0.0);
	addStreams(lengths, kEventInterval, 1);
	EXPECT_NEAR(lengths.holdSeconds("model", "route"), 1.2, 0.1);
	EXPECT_EQ(lengths.holdSeconds("model", "other"), 0.0);
}

TEST(StreamLengths, aShortageHardlyRaisesTheEstimateAndItRecoversSoon)
{
	StreamLengths lengths;
	addStreams(lengths, kEventInterval, 200);
	const double usual = lengths.holdSeconds("model", "route");
	addStreams(lengths, 4 * kEventInterval, 42); // 14 s of a gateway with three streams a second.
	EXPECT_LT(lengths.holdSeconds("model", "route"), 1.25 * usual);
	addStreams(lengths, kEventInterval, 5);
	EXPECT_LT(lengths.holdSeconds("model", "route"), 1.1 * usual);
}

TEST(StreamLengths, theNumberOfRoutesIsBounded)
{
	StreamLengths lengths;
	for (std::size_t route = 0; route <= StreamLengths::kMaxRoutes; ++route)
	{
		lengths.onStream("model", std::to_string(route), kEvents, kEventInterval * (kEvents - 1));
	}
	EXPECT_EQ(lengths.holdSeconds("model", std::to_string(StreamLengths::kMaxRoutes)), 0.0);
	EXPECT_GT(lengths.holdSeconds("model", "0"), 0.0);
}

/// 300 streams a second with a prefill of 50 ms and 1.2 s of token generation need 15 engines for prefill and
/// 30 whose slots are held. With ten engines running, a load derived from the held slots called for 15 engines;
/// each boot then raised the next order, up to 95 where about 55 were needed.
TEST(DemandMeter, theLoadDoesNotDependOnTheNumberOfRunningEngines)
{
	DemandMeter meter;
	Micros now = kSecond;
	for (int tick = 0; tick < 200; ++tick)
	{
		now += 100 * kMillisecond;
		for (int arrival = 0; arrival < 30; ++arrival)
		{
			meter.onArrival("model", 0.05, 1.2, 12);
		}
		meter.advance(now);
	}
	const double work = CapacityPlanner::combinedWork(meter.work("model"), meter.occupied("model"));
	EXPECT_NEAR(work, 50.3, 3.0);
	EXPECT_LT(CapacityPlanner::serversRequired(work), 68u);
	EXPECT_GE(CapacityPlanner::serversRequired(work), 50u);
}

} // namespace beacongate::test
