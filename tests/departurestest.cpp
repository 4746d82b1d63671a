// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// For how long a backend server that left may still be used, and what a gateway takes for an outage of the store.

#include "coordination/directory.h"
#include "coordination/listreadpace.h"
#include "coordination/storereachability.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <utility>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kDrainBound = 2 * kSecond; ///< That a directory keeps where it is told no other.
constexpr Micros kLook = 50 * kMillisecond; ///< Between two looks at whether a read is due.
constexpr Micros kPatience = DrainBudget(kDrainBound).storeTimeout;

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
	EXPECT_FALSE(directory.takesWork({"a"}, kSecond + kDrainBound));
	EXPECT_TRUE(directory.usableOf("model", kSecond + kDrainBound).empty());
}

TEST(Departures, aServerThatSaidSoItselfTakesNoWorkWhateverTheListSays)
{
	Directory directory;
	directory.applyList({1, {backendOf("a")}, kSecond}, kSecond);
	directory.markDraining({"a"}, DepartureSource::Answer, 2 * kSecond);
	directory.applyList({2, {backendOf("a")}, 3 * kSecond}, 3 * kSecond);
	EXPECT_FALSE(directory.takesWork({"a"}, 3 * kSecond));
	const std::vector<DepartureNotice> notices = directory.takeDepartureNotices();
	ASSERT_EQ(notices.size(), 1u);
	EXPECT_EQ(notices[0].sign, DepartureSource::Answer);
	EXPECT_EQ(directory.drainingSince(2 * kSecond).size(), 1u); // Peers are told.
	BackendRecord again = backendOf("a");
	again.born = 2;
	directory.applyList({3, {again}, 4 * kSecond}, 4 * kSecond);
	EXPECT_TRUE(directory.takesWork({"a", 2}, 4 * kSecond));
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

TEST(StoreReachability, oneSilentReadProvesNothingBeforeThePatienceIsOver)
{
	StoreReachability contact(kPatience);
	contact.onReadSent(kSecond);
	EXPECT_FALSE(contact.isUnreachable(kSecond + kPatience - 1));
	EXPECT_TRUE(contact.isUnreachable(kSecond + kPatience));
	contact.onBytesReceived(kSecond + kPatience);
	EXPECT_FALSE(contact.isUnreachable(kSecond + kPatience));
}

TEST(StoreReachability, aReadThatWasGivenUpProvesNoMoreThanItWaited)
{
	// Reads that are dropped and begun anew never find out about a store that is slower than that.
	constexpr Micros kDropped = kPatience * 3 / 4;
	StoreReachability contact(kPatience);
	Micros now = kSecond;
	for (int read = 0; read < 10; ++read)
	{
		contact.onReadSent(now);
		EXPECT_FALSE(contact.isUnreachable(now + kDropped));
		contact.onReadAbandoned(now, now + kDropped);
		now += kDropped;
	}
	contact.onReadSent(now);
	EXPECT_TRUE(contact.isUnreachable(now + kPatience));
	contact.onReadAbandoned(now, now + kPatience);
	EXPECT_TRUE(contact.isUnreachable(now + kPatience));
}

TEST(StoreReachability, aTimeOutThatFiresBeforeAnyoneLooksProvesNothing)
{
	// The process was held up; its timers fire first, and the answers that have come are read after them.
	StoreReachability contact(kPatience);
	contact.onReadSent(kSecond);
	contact.onReadAbandoned(kSecond, kSecond + 2 * kPatience);
	EXPECT_FALSE(contact.isUnreachable(kSecond + 2 * kPatience));
	contact.onReadSent(kSecond + 2 * kPatience);
	EXPECT_FALSE(contact.isUnreachable(kSecond + 3 * kPatience - 1));
}

TEST(StoreReachability, aStoreThatTurnsCallsAwayIsOutOfReachOnceItDidSoAgain)
{
	StoreReachability contact(kPatience);
	contact.onReadSent(kSecond);
	contact.onReadRejected(kSecond, kSecond);
	EXPECT_FALSE(contact.isUnreachable(2 * kSecond));
	contact.onReadSent(2 * kSecond);
	contact.onReadRejected(2 * kSecond, 2 * kSecond);
	EXPECT_TRUE(contact.isUnreachable(2 * kSecond));
	contact.onReadSent(3 * kSecond);
	EXPECT_TRUE(contact.isUnreachable(3 * kSecond));
	contact.onAnswered(3 * kSecond, 3 * kSecond + kMillisecond);
	EXPECT_FALSE(contact.isUnreachable(3 * kSecond + kMillisecond));
}

TEST(StoreReachability, timeInWhichThisProcessDidNotRunIsNoSilence)
{
	StoreReachability contact(kPatience);
	contact.onReadSent(kSecond);
	const Micros woken = kSecond + 2 * kPatience;
	contact.onProcessStalled(2 * kPatience - kMillisecond, woken);
	EXPECT_FALSE(contact.isUnreachable(woken));
	EXPECT_TRUE(contact.isUnreachable(woken + kPatience));
}

TEST(StoreReachability, whatWasFoundLongAgoSaysNothingOnceTheListCameByAnotherWay)
{
	StoreReachability contact(kPatience);
	contact.onReadSent(kSecond);
	ASSERT_TRUE(contact.isUnreachable(kSecond + kPatience));
	contact.onReadAbandoned(kSecond, kSecond + kPatience);
	ASSERT_TRUE(contact.isUnreachable(2 * kSecond + kPatience));
	contact.onReadSent(2 * kSecond + kPatience); // Another read waits.
	contact.resetFindings();
	EXPECT_FALSE(contact.isUnreachable(2 * kSecond + kPatience));
}

RC_GTEST_PROP(StoreReachability, aStoreThatAnswersWithinThePatienceIsNeverOutOfReach,
			  (const std::vector<std::uint8_t>& latencies))
{
	// Reads overlap, and answers come in the order of the reads.
	StoreReachability contact(kPatience);
	std::deque<std::pair<Micros, Micros>> answers; ///< When they come, and when they were asked for.
	Micros now = kSecond;
	Micros last = 0;
	for (const std::uint8_t latency : latencies)
	{
		contact.onReadSent(now);
		last = std::max(last, now + kPatience * latency / 256);
		answers.emplace_back(std::min(last, now + kPatience - 1), now);
		now += kListReadInterval;
		while (!answers.empty() && answers.front().first <= now)
		{
			const auto [came, asked] = answers.front();
			answers.pop_front();
			RC_ASSERT(!contact.isUnreachable(came));
			contact.onAnswered(asked, came);
		}
		RC_ASSERT(!contact.isUnreachable(now));
	}
}

TEST(ListReadPace, asksASilentStoreTwiceUntilItIsOutOfReach)
{
	for (const Micros bound : {2 * kSecond, 3 * kSecond, 4 * kSecond})
	{
		const DrainBudget budget(bound);
		ListReadPace pace(budget);
		unsigned reads = 0;
		for (Micros now = kSecond; now < kSecond + budget.storeTimeout; now += kLook)
		{
			if (pace.due(now))
			{
				pace.onReadStarted(now);
				++reads;
			}
		}
		EXPECT_EQ(reads, 2u) << bound;
	}
}

/// The store turns slow between two answers; the list must not get too old to send by.
TEST(ListReadPace, aStoreThatTakesHalfOfTheBoundKeepsTheListYoungEnough)
{
	for (const Micros bound : {2 * kSecond, 3 * kSecond, 4 * kSecond})
	{
		const DrainBudget budget(bound);
		const Micros latency = bound / 2;
		ListReadPace pace(budget);
		std::deque<Micros> asked;
		Micros confirmed = kSecond;
		Micros oldest = 0;
		for (Micros now = kSecond + budget.listReadAge; now < 20 * kSecond; now += kLook)
		{
			// Once the first answer of the slow store has come: until then the list may be as old as it takes.
			const bool slowKnown = confirmed > kSecond;
			oldest = slowKnown ? std::max(oldest, now - confirmed) : oldest;
			while (!asked.empty() && asked.front() + latency <= now)
			{
				confirmed = asked.front();
				asked.pop_front();
				pace.onAnswered();
			}
			if (now - confirmed >= budget.listReadAge && pace.due(now))
			{
				pace.onReadStarted(now);
				asked.push_back(now);
			}
		}
		EXPECT_LE(oldest, budget.maxListAge + kLook) << bound;
	}
}

} // namespace beacongate::test
