// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests gateways that ask for prompt slots beside gateways of the build before, from the capacity on.

#include "promptslotfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
// Guards against a fleet that serves nothing in time during an upgrade under heavy load. Gateways of the build
// before send every request, and the homes do not count these.
TEST(PromptSlotBuilds, goodputIsKeptBesideOlderBuildsFromTheCapacityOn)
{
	for (const double load : {1.0, 1.5})
	{
		for (const unsigned seed : {7U, 8U, 9U})
		{
			const double sound = PromptSimulation({.load = load, .seed = seed}).run().laterGoodput;
			const double mixed = PromptSimulation({.load = load, .halfOld = true, .seed = seed}).run().laterGoodput;
			EXPECT_GE(mixed, 0.9 * sound) << "load " << load << ", seed " << seed;
		}
	}
}

} // namespace beacongate::test
