// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a process that has just started taking the store for one that was never restored.

#include "coordination/lastrestore.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr Micros kStart = 5000 * kSecond;
constexpr Micros kEpoch = 1'800'000'000 * kSecond; ///< True time at monotonic time 0.
} // namespace

TEST(LastRestore, newProcessAssumesARestoreUntilItsFirstAnswer)
{
	LastRestore restore(false);
	restore.onFirstEra(kStart);
	EXPECT_EQ(restore.at(), kStart);
	EXPECT_TRUE(restore.isWithin(kSecond, kStart));
	EXPECT_FALSE(restore.isWithin(kSecond, kStart + 2 * kSecond));
}

TEST(LastRestore, nothingIsRestoredAtTheFirstStartOfADeployment)
{
	LastRestore restore(true);
	restore.onFirstEra(kStart);
	EXPECT_EQ(restore.at(), kLongAgo);
	EXPECT_FALSE(restore.isWithin(kSecond, kStart));
	EXPECT_EQ(restore.trueTime(kStart, kEpoch + kStart), 0);
}

TEST(LastRestore, recordOfTheHoldersTellsANewProcessWhenItWas)
{
	LastRestore seen(false);
	seen.onFirstEra(kStart);
	seen.onLaterEra(kStart + 10 * kSecond);
	const Micros written = kStart + 15 * kSecond;
	const DutyRecord record{1, seen.trueTime(written, kEpoch + written)};
	LastRestore restore(false);
	restore.onFirstEra(kStart + 60 * kSecond);
	restore.onRecord(decodeDutyRecord(encodeDutyRecord(record)), kStart + 60 * kSecond,
					 kEpoch + kStart + 60 * kSecond);
	EXPECT_EQ(restore.at(), kStart + 10 * kSecond);
	LastRestore never(false);
	never.onFirstEra(kStart);
	never.onRecord(decodeDutyRecord("17 0"), kStart, kEpoch + kStart);
	EXPECT_EQ(never.at(), kLongAgo);
}

TEST(LastRestore, recordDoesNotReplaceWhatTheProcessHasSeen)
{
	LastRestore restore(true);
	restore.onFirstEra(kStart);
	restore.onLaterEra(kStart + kSecond);
	restore.onRecord({1, 0}, kStart + 2 * kSecond, kEpoch + kStart + 2 * kSecond);
	EXPECT_EQ(restore.at(), kStart + kSecond);
}

TEST(LastRestore, recordOfAnEarlierBuildTellsNothing)
{
	LastRestore restore(false);
	restore.onFirstEra(kStart);
	restore.onRecord(decodeDutyRecord("1048577"), kStart, kEpoch + kStart);
	EXPECT_EQ(restore.at(), kStart);
	EXPECT_EQ(decodeDutyRecord("1048577").fence, 1048577u);
	EXPECT_EQ(decodeDutyRecord("1048577").era(), 1u);
	EXPECT_EQ(decodeDutyRecord("").fence, 0u);
}

} // namespace beacongate::test
