// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which all limits are lowered far below the demand of most teams, without other faults.
///
/// See quotaloweredtest for the failure and its cause.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 24 * kSecond;
}

// Guards against a team with a lowered limit of 4.2 requests a second running 45 in 8 s where 41.58 are allowed.
TEST(SoakLowered, twelveGateways)
{
	expectPromisesKept({soak::SoakProfile::LoweredQuotas, 3, 12, 8, kSpan});
}

// Guards against a team with a lowered limit of 2.4 requests a second running 35 in 8 s where 23.76 are allowed.
TEST(SoakLowered, seventySevenGateways)
{
	expectPromisesKept({soak::SoakProfile::LoweredQuotas, 7, 77, 8, kSpan});
}

} // namespace beacongate::test
