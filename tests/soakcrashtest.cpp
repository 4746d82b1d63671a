// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which two requests crash each backend server that runs them.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 15 * kSecond;
}

TEST(SoakCrash, seed1)
{
	expectPromisesKept({soak::SoakProfile::Crashes, 1, 3, 12, kSpan});
}

TEST(SoakCrash, seed2WithManyGateways)
{
	expectPromisesKept({soak::SoakProfile::Crashes, 2, 40, 40, kSpan});
}

} // namespace beacongate::test
