// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A team that asks for less than its limit is not refused, even while many gateways are paused.
///
/// Guards against refusals by a collector that was paused: the others report to another collector for three
/// seconds, so the resumed one hears from them late and grants only its equal share until then.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 25 * kSecond;

void expectServedBelowLimits(std::uint64_t _seed, unsigned _gateways, unsigned _callers)
{
	expectPromisesKept({soak::SoakProfile::Quotas, _seed, _gateways, _callers, kSpan},
					   SoakPromises::ServedBelowLimit);
}
} // namespace

TEST(SoakBelowLimit, seed1)
{
	expectServedBelowLimits(1, 8, 8);
}

TEST(SoakBelowLimit, seed2)
{
	expectServedBelowLimits(2, 40, 16);
}

// Guards against refusals of 62 of 445 requests of one team and 70 of 1,205 of all teams.
TEST(SoakBelowLimit, seed101)
{
	expectServedBelowLimits(101, 18, 8);
}

// Guards against refusals of 49 of 584 requests of one team and 77 of 916 of all teams.
TEST(SoakBelowLimit, seed102)
{
	expectServedBelowLimits(102, 30, 8);
}

} // namespace beacongate::test
