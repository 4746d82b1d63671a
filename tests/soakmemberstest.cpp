// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which many members of the fleet change while backend servers name limits.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 25 * kSecond;
constexpr unsigned kCallers = 40;
} // namespace

TEST(SoakMembers, seed1WithLimits)
{
	expectPromisesKept({soak::SoakProfile::LimitsMembers, 1, 40, kCallers, kSpan});
}

} // namespace beacongate::test
