// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which backend servers ask for backoffs, and announce their departure only in their answers.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 20 * kSecond;
}

TEST(SoakAnswers, seed1)
{
	expectPromisesKept({soak::SoakProfile::Answers, 1, 3, 12, kSpan});
}

TEST(SoakAnswers, seed2WithManyGateways)
{
	expectPromisesKept({soak::SoakProfile::Answers, 2, 20, 40, kSpan});
}

} // namespace beacongate::test
