// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Which gateways read the store if reads by the whole fleet would overload its link.

#include "coordination/readershare.h"
#include "coordination/drainbudget.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr double kStoreLink = 125e6;        ///< Bytes per second: 1,000 Mbit/s.
constexpr std::uint64_t kRecordBytes = 450; ///< Bytes of a backend server's record as the store sends it.
constexpr Micros kDrainBound = 3 * kSecond;
constexpr Micros kRecentlyHeard = kSecond;

std::size_t readersOf(std::size_t _members, std::uint64_t _bytes)
{
	std::size_t readers = 0;
	for (std::size_t position = 0; position < _members; ++position)
	{
		readers += ReaderShare::mayRead(_members, position, _bytes, kRecentlyHeard) ? 1 : 0;
	}
	return readers;
}
} // namespace

/// Without a bound, 302 gateways that read 1.35 MB each occupy the store's link for 3.3 s, while a list may be 2.25
/// s old. With it, 24 gateways read, which takes 0.26 s.
TEST(ReaderShare, readsOfThousandsOfRecordsAreInTimeWithoutRelays)
{
	constexpr std::uint64_t kBytes = 3000 * kRecordBytes;
	const double all = 302.0 * kBytes / kStoreLink;
	EXPECT_GT(all, secondsOf(DrainBudget(kDrainBound).maxListAge));
	const std::size_t readers = readersOf(302, kBytes);
	EXPECT_GE(readers, 8U);
	EXPECT_LT(static_cast<double>(readers * kBytes) / kStoreLink,
			  secondsOf(DrainBudget(kDrainBound).secondReadDelay));
}

TEST(ReaderShare, smallerFleetsReadWithoutABound)
{
	EXPECT_EQ(readersOf(295, 210 * kRecordBytes + 150'000), 295U);
	EXPECT_EQ(readersOf(87, 130 * kRecordBytes + 1'200'000), 87U);
	EXPECT_EQ(readersOf(8, 10'000'000), 8U);
}

TEST(ReaderShare, theFirstGatewayAndThoseWithoutRelaysAlwaysRead)
{
	constexpr std::uint64_t kBytes = 100u << 20;
	EXPECT_EQ(readersOf(302, kBytes), 1U);
	EXPECT_TRUE(ReaderShare::mayRead(302, 300, kBytes, ReaderShare::kRelaySilence + 1));
	EXPECT_TRUE(ReaderShare::mayRead(302, std::nullopt, kBytes, kRecentlyHeard));
}

} // namespace beacongate::test
