// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The bounds on both errors of the crash ledger where a part of prompts crashes servers.

#ifndef BEACONGATE_TESTS_CRASHPARTFLEET_H
#define BEACONGATE_TESTS_CRASHPARTFLEET_H

#include "crashfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
inline constexpr Micros kContactSpan = 3 * kSecond;
inline constexpr unsigned kMaxLateSends = 3;
inline constexpr std::uint64_t kSeeds = 20;
/// Crashes after which the contact span runs for a part of prompts.
inline constexpr std::size_t kPartCrashes = 5;
/// Share of the sound requests that must be served while a part crashes servers.
inline constexpr double kServedShare = 0.5;
/// Largest share of other requests that may be refused, and number on any day: as many as a day may refuse in
/// error.
inline constexpr double kMaxBlockedShare = 1.0 / 500.0;
inline constexpr double kMaxBlocked = 5.0;
/// Time for which a fleet has served before culprits come.
inline constexpr Micros kWarmUp = 10 * kSecond;

/// Runs all seeds of a case with parts and checks both errors. The fleet has served for a while when the culprits
/// come.
inline void expectPartsBlocked(CrashFleetCase _case)
{
	_case.culpritsAreParts = true;
	unsigned requests = 0;
	unsigned served = 0;
	unsigned blocked = 0;
	unsigned lateSends = 0;
	std::size_t crashes = 0;
	for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		_case.seed = seed;
		const CrashFleetResult result = CrashFleet(_case).run();
		EXPECT_LE(result.maxSendsAfter(kContactSpan, kPartCrashes), kMaxLateSends) << "seed " << seed;
		EXPECT_GE(result.served, kServedShare * result.requests) << "seed " << seed;
		EXPECT_LE(result.blocked, std::max(kMaxBlocked, kMaxBlockedShare * result.requests)) << "seed " << seed;
		requests += result.requests;
		served += result.served;
		blocked += result.blocked;
		lateSends = std::max(lateSends, result.maxSendsAfter(kContactSpan, kPartCrashes));
		crashes = std::max(crashes, result.maxCrashes());
	}
	EXPECT_LE(blocked, kMaxBlockedShare * requests) << "of " << requests;
	std::cout << "served " << served << " of " << requests << ", blocked in error " << blocked
			  << ", most late sends " << lateSends << ", most crashes by one part " << crashes << '\n';
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_CRASHPARTFLEET_H
