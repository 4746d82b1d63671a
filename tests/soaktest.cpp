// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A short soak with a fixed seed, and the seeds that ever failed.

#include "soak/soak.h"
#include "soak/checker.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
void keepsPromises(std::uint64_t _seed, unsigned _gateways, Micros _span)
{
	soak::SoakOptions options;
	options.seed = _seed;
	options.gateways = _gateways;
	options.span = _span;
	options.program = std::string(BEACONGATE_BIN) + "/beacongate-gateway";
	const auto directory = std::filesystem::temp_directory_path() / ("beacongate-soak-" + std::to_string(getpid()));
	std::filesystem::create_directories(directory);
	options.directory = directory;
	const soak::Observations seen = soak::Soak(options).run();
	EXPECT_GT(seen.requests.size(), 100u);
	for (const soak::Finding& finding : soak::check(seen))
	{
		ADD_FAILURE() << "seed " << _seed << ": " << soak::toString(finding.promise) << ": " << finding.detail;
	}
	if (!testing::Test::HasFailure())
	{
		std::filesystem::remove_all(directory);
	}
}
} // namespace

TEST(Soak, aShortRunKeepsThePromises)
{
	keepsPromises(20261202, 3, 15 * kSecond);
}

// The soak's own proxy let later bytes overtake delayed ones when a delay ended (FaultProxy.whatIsDelayed...).
TEST(Soak, seed510)
{
	keepsPromises(510, 5, 20 * kSecond);
}

TEST(Soak, seed514)
{
	keepsPromises(514, 5, 20 * kSecond);
}

} // namespace beacongate::test
