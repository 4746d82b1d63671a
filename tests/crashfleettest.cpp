// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Measures both errors of the crash ledger over simulated fleets: crashes by a request until it is blocked, and
/// other requests that are blocked.

#include "crashfleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr Micros kContactSpan = 3 * kSecond;
constexpr unsigned kMaxLateSends = 3;
constexpr std::uint64_t kSeeds = 20;
/// Largest share of other requests that may be refused: as many as a day may refuse in error.
constexpr double kMaxBlockedShare = 1.0 / 500.0;

/// Runs all seeds of a case and checks both errors.
void expectBlocked(CrashFleetCase _case)
{
	unsigned requests = 0;
	unsigned served = 0;
	unsigned blocked = 0;
	std::size_t crashes = 0;
	for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		_case.seed = seed;
		const CrashFleetResult result = CrashFleet(_case).run();
		EXPECT_LE(result.maxSendsAfter(kContactSpan), kMaxLateSends) << "seed " << seed;
		EXPECT_EQ(result.culpritCrashes.size(), _case.culprits) << "seed " << seed;
		requests += result.requests;
		served += result.served;
		blocked += result.blocked;
		crashes = std::max(crashes, result.maxCrashes());
	}
	EXPECT_LE(blocked, kMaxBlockedShare * requests) << "of " << requests;
	std::cout << "served " << served << " of " << requests << ", blocked in error " << blocked
			  << ", most crashes by one request " << crashes << '\n';
}
} // namespace

TEST(CrashFleet, oneRequestAServer)
{
	CrashFleetCase fleet;
	fleet.requestsASecond = 12.0;
	expectBlocked(fleet);
}

TEST(CrashFleet, manyRequestsAServer)
{
	CrashFleetCase fleet;
	fleet.requestsASecond = 200.0;
	fleet.meanRun = 3 * kSecond;
	expectBlocked(fleet);
}

TEST(CrashFleet, severalCulprits)
{
	CrashFleetCase fleet;
	fleet.culprits = 6;
	fleet.requestsASecond = 100.0;
	expectBlocked(fleet);
}

TEST(CrashFleet, culpritThatComesAtAllGatewaysAtOnce)
{
	CrashFleetCase fleet;
	fleet.gateways = 40;
	fleet.servers = 60;
	fleet.culpritsASecond = 20.0;
	fleet.requestsASecond = 200.0;
	expectBlocked(fleet);
}

TEST(CrashFleet, largeFleetWithSlowReports)
{
	CrashFleetCase fleet;
	fleet.gateways = 300;
	fleet.servers = 400;
	fleet.requestsASecond = 1000.0;
	fleet.culpritsASecond = 4.0;
	fleet.maxDelay = 750 * kMillisecond;
	fleet.span = 30 * kSecond;
	expectBlocked(fleet);
}

TEST(CrashFleet, lookupsThatAreRepeatedAllDay)
{
	CrashFleetCase fleet;
	fleet.lookups = 5;
	fleet.requestsASecond = 100.0;
	fleet.meanRun = 100 * kMillisecond;
	fleet.ownCrashesASecond = 0.2;
	expectBlocked(fleet);
}

TEST(CrashFleet, requestThatCrashesServersDoesNotBlockItsParts)
{
	CrashFleetCase fleet;
	fleet.sharedParts = 2;
	fleet.middleParts = 10;
	fleet.requestsASecond = 100.0;
	expectBlocked(fleet);
}

TEST(CrashFleet, serversThatCrashByThemselves)
{
	CrashFleetCase fleet;
	fleet.culprits = 0;
	fleet.ownCrashesASecond = 1.0;
	fleet.requestsASecond = 100.0;
	expectBlocked(fleet);
}

TEST(CrashFleet, rackThatFails)
{
	CrashFleetCase fleet;
	fleet.rack = 8;
	fleet.requestsASecond = 200.0;
	fleet.meanRun = 2 * kSecond;
	expectBlocked(fleet);
}

} // namespace beacongate::test
