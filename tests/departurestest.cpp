// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// For how long a backend server that left may still be used, whatever a gateway knows of the store.

#include "coordination/directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kDrainBound = 2 * kSecond; ///< That a directory keeps where it is told no other.

BackendRecord backendOf(const std::string& _id)
{
	BackendRecord record;
	record.id = _id;
	record.service = "model";
	return record;
}
} // namespace

TEST(Departures, aVanishedServerIsUsedNoLongerThanTheLastListThatNamedItAllows)
{
	// The server may have left right after the list was read that named it last, and it is found missing late.
	const Micros found = kSecond + kDrainBound - 100 * kMillisecond;
	Directory directory;
	directory.applyList({1, {backendOf("a")}, kSecond}, kSecond);
	directory.applyList({2, {}, found}, found);
	EXPECT_FALSE(directory.takesWork("a", kSecond + kDrainBound));
	EXPECT_TRUE(directory.usableOf("model", kSecond + kDrainBound).empty());
}

RC_GTEST_PROP(Departures, noServerIsUsedBeyondTheBoundWhileTheStoreAnswers,
			  (const std::vector<std::uint8_t>& spans))
{
	// Lists come as irregularly as they like; the server leaves right after the first one was read.
	Directory directory;
	Micros now = kSecond;
	std::uint64_t revision = 1;
	directory.applyList({revision, {backendOf("a")}, now}, now);
	const Micros left = now;
	for (const std::uint8_t span : spans)
	{
		now += static_cast<Micros>(span) * 10 * kMillisecond;
		directory.applyList({++revision, {}, now}, now);
		RC_ASSERT(now < left + kDrainBound || directory.usableOf("model", now).empty());
	}
}

} // namespace beacongate::test
