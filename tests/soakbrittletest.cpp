// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which backend servers name themselves brittle.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 20 * kSecond;
}

TEST(SoakBrittle, seed1)
{
	expectPromisesKept({soak::SoakProfile::Brittle, 1, 5, 24, kSpan});
}

TEST(SoakBrittle, seed2WithManyGateways)
{
	expectPromisesKept({soak::SoakProfile::Brittle, 2, 40, 40, kSpan});
}

} // namespace beacongate::test
