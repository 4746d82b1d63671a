// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A team whose demand rises to eight times its limit when half of the gateways, collectors included, are paused.
///
/// Reports of admitted requests take up to 0.75 s, and longer while collectors are replaced; until then each
/// gateway admits its own share. The limits here have no slack, whereas deployments tolerate 140,000 tokens in
/// addition to the tenth.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 20 * kSecond;
constexpr unsigned kCallers = 8;

void expectLimitsKept(std::uint64_t _seed, unsigned _gateways)
{
	expectPromisesKept({soak::SoakProfile::Quotas, _seed, _gateways, kCallers, kSpan},
					   SoakPromises::AllButServedBelowLimit);
}
} // namespace

// Guards against 417,340 tokens in 8 s where 396,000 are allowed.
TEST(SoakHotOnset, seed202)
{
	expectLimitsKept(202, 30);
}

// Guards against 478,127 tokens where 396,000 are allowed: 320 requests ran in a second with a limit of 100, when
// 15 of 30 gateways resumed after a stall.
TEST(SoakHotOnset, seed206)
{
	expectLimitsKept(206, 30);
}

// Guards against 416,514 tokens where 396,000 are allowed.
TEST(SoakHotOnset, seed211)
{
	expectLimitsKept(211, 42);
}

// Guards against 667,527 tokens where 396,000 are allowed: all gateways resumed after 1.4 s with a full bucket and
// logged collector-silent 21 times in the next second, and 325, 176 and 159 requests passed in three seconds with a
// limit of 100 a second.
TEST(SoakHotOnset, seed218)
{
	expectLimitsKept(218, 30);
}

// Guards against 398,296 tokens where 396,000 are allowed.
TEST(SoakHotOnset, seed223)
{
	expectLimitsKept(223, 42);
}

} // namespace beacongate::test
