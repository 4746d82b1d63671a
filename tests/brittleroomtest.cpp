// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against brittle backend servers falling over that have room for fewer requests than they have slots.

#include "brittlefleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
TEST(BrittleRoom, serversWithLessRoomThanSlotsStayStanding)
{
	for (const double rejections : {3.0, 10.0})
	{
		for (const Fleet& fleet : {Fleet{8, 9, 64, 2 * kSecond, 3.0, rejections, 150 * kMillisecond, 0, 0.75},
								   Fleet{40, 30, 64, 2 * kSecond, 3.0, rejections, 250 * kMillisecond, 2, 0.75},
								   Fleet{8, 4, 6, 60 * kMillisecond, 3.0, rejections, 150 * kMillisecond, 0, 0.5}})
		{
			const Outcome outcome = Simulation(fleet).run();
			EXPECT_LE(outcome.falls, 2 + fleet.servers / 10) << describe(fleet);
		}
	}
}

} // namespace beacongate::test
