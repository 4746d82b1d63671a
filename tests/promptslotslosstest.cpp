// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests gateways that ask for prompt slots while messages between them are lost.

#include "promptslotfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
// Guards against slots that stay taken after a grant or a report is lost, and against waits for lost answers.
TEST(PromptSlotLosses, goodputIsKeptWhenAFifthOfTheMessagesIsLost)
{
	for (const double load : {1.0, 1.5, 3.0})
	{
		for (const unsigned seed : {7U, 8U, 9U})
		{
			const double sound = PromptSimulation({.load = load, .seed = seed}).run().laterGoodput;
			const double lossy =
				PromptSimulation({.load = load, .lostShare = 0.2, .seed = seed}).run().laterGoodput;
			EXPECT_GE(lossy, 0.9 * sound) << "load " << load << ", seed " << seed;
		}
	}
}

} // namespace beacongate::test
