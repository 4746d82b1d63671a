// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which many members of the fleet change while backend servers are brittle.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 25 * kSecond;
constexpr unsigned kCallers = 40;
} // namespace

TEST(SoakBrittleMembers, seed2WithManyGateways)
{
	expectPromisesKept({soak::SoakProfile::BrittleMembers, 2, 78, kCallers, kSpan});
}

} // namespace beacongate::test
