// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A short soak with a fixed seed, and seeds that failed before.

#include "soakrun.h"

namespace beacongate::test
{
TEST(Soak, aShortRunKeepsThePromises)
{
	expectPromisesKept({soak::SoakProfile::Mixed, 20261202, 3, 6, 15 * kSecond});
}

// Guards against the soak's proxy reordering delayed bytes when a delay ends (FaultProxy.keepsOrderWhenDelayEnds).
TEST(Soak, seed510)
{
	expectPromisesKept({soak::SoakProfile::Mixed, 510, 5});
}

TEST(Soak, seed514)
{
	expectPromisesKept({soak::SoakProfile::Mixed, 514, 5});
}

} // namespace beacongate::test
