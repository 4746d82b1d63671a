// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which backend servers name limits in their answers.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 20 * kSecond;
}

TEST(SoakLimit, seed1)
{
	expectPromisesKept({soak::SoakProfile::Limits, 1, 5, 12, kSpan});
}

TEST(SoakLimit, seed2WithManyGateways)
{
	expectPromisesKept({soak::SoakProfile::Limits, 2, 40, 40, kSpan});
}

} // namespace beacongate::test
