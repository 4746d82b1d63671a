// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which all limits fall far below what most teams ask for, and nothing else happens.
///
/// What users saw, and what brings it about: quotaloweredtest.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 24 * kSecond;
}

// A team with 4.2 requests a second left ran 45 of 41.58 in 8 s.
TEST(SoakLowered, twelveGateways)
{
	keepsPromises({soak::SoakProfile::LoweredQuotas, 3, 12, 8, kSpan});
}

// A team with 2.4 requests a second left ran 35 of 23.76.
TEST(SoakLowered, seventySevenGateways)
{
	keepsPromises({soak::SoakProfile::LoweredQuotas, 7, 77, 8, kSpan});
}

} // namespace beacongate::test
