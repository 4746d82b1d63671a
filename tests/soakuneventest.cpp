// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against false refusals and unserved requests where servers differ in speed and load comes in bursts.

#include "soakrun.h"

namespace beacongate::test
{
TEST(SoakUneven, seed1)
{
	expectPromisesKept({soak::SoakProfile::Uneven, 1, 12, 8, 20 * kSecond});
}

} // namespace beacongate::test
