// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The load that a plan of capacity goes by, where too few engines stand.

#include "coordination/streamlengths.h"
#include "coordination/capacityplanner.h"
#include "coordination/demandmeter.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr unsigned kEvents = 40;
constexpr Micros kPace = 30 * kMillisecond; ///< Between two events at an engine that is not crowded.

void stream(StreamLengths& _lengths, Micros _pace, int _streams)
{
	for (int number = 0; number < _streams; ++number)
	{
		_lengths.onStream("model", "route", kEvents, _pace * (kEvents - 1));
	}
}
} // namespace

TEST(StreamLengths, nothingIsKnownBeforeTheFirstStream)
{
	StreamLengths lengths;
	EXPECT_EQ(lengths.holdSeconds("model", "route"), 0.0);
	stream(lengths, kPace, 1);
	EXPECT_NEAR(lengths.holdSeconds("model", "route"), 1.2, 0.1);
	EXPECT_EQ(lengths.holdSeconds("model", "other"), 0.0);
}

TEST(StreamLengths, aShortageHardlyMovesTheEstimateAndItFallsBackSoon)
{
	StreamLengths lengths;
	stream(lengths, kPace, 200);
	const double calm = lengths.holdSeconds("model", "route");
	stream(lengths, 4 * kPace, 42); // 14 s of a gateway with three streams a second.
	EXPECT_LT(lengths.holdSeconds("model", "route"), 1.25 * calm);
	stream(lengths, kPace, 5);
	EXPECT_LT(lengths.holdSeconds("model", "route"), 1.1 * calm);
}

TEST(StreamLengths, manyRoutesAreBounded)
{
	StreamLengths lengths;
	for (std::size_t route = 0; route <= StreamLengths::kMaxRoutes; ++route)
	{
		lengths.onStream("model", std::to_string(route), kEvents, kPace * (kEvents - 1));
	}
	EXPECT_EQ(lengths.holdSeconds("model", std::to_string(StreamLengths::kMaxRoutes)), 0.0);
	EXPECT_GT(lengths.holdSeconds("model", "0"), 0.0);
}

/// 300 streams a second with prompts of 50 ms and 1.2 s of tokens need 15 engines for reading and 30 whose slots
/// are held. With ten standing, a load that was read off the slots that were held called for 15 engines; each boot
/// then raised the next wish, up to 95 where some 55 were needed.
TEST(DemandMeter, theLoadDoesNotDependOnHowManyEnginesStand)
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
