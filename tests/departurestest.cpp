// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests for how long a backend server that left may still be used, and what counts as an outage of the store.

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
constexpr Micros kDrainBound = 2 * kSecond;          ///< Default bound of a directory.
constexpr Micros kCheckInterval = 50 * kMillisecond; ///< Interval of the checks for a due read.
constexpr Micros kStoreTimeout = DrainBudget(kDrainBound).storeTimeout;

BackendRecord backendOf(const std::string& _id)
{
	BackendRecord record;
	record.id = _id;
	record.service = "model";
	return record;
}
} // namespace

TEST(Departures, theUseOfAVanishedServerIsBoundedFromTheLastListThatNamedIt)
{
	// The server may have left right after the last list that named it, and it is found missing late.
	const Micros found = kSecond + kDrainBound - 100 * kMillisecond;
	Directory directory;
	directory.applyList({1, {backendOf("a")}, kSecond}, kSecond);
	directory.applyList({2, {}, found}, found);
	EXPECT_FALSE(directory.takesWork({"a"}, kSecond + kDrainBound));
	EXPECT_TRUE(directory.usableOf("model", kSecond + kDrainBound).empty());
}

TEST(Departures, aServerThatReportedItsDepartureTakesNoWorkWhateverTheListSays)
{
	Directory directory;
	directory.applyList({1, {backendOf("a")}, kSecond}, kSecond);
	directory.markDraining({"a"}, DepartureSource::Answer, 2 * kSecond);
	directory.applyList({2, {backendOf("a")}, 3 * kSecond}, 3 * kSecond);
	EXPECT_FALSE(directory.takesWork({"a"}, 3 * kSecond));
	const std::vector<DepartureNotice> notices = directory.takeDepartureNotices();
	ASSERT_EQ(notices.size(), 1u);
	EXPECT_EQ(notices[0].source, DepartureSource::Answer);
	EXPECT_EQ(directory.departures().since(2 * kSecond).size(), 1u); // It is reported to peers.
	BackendRecord again = backendOf("a");
	again.born = 2;
	directory.applyList({3, {again}, 4 * kSecond}, 4 * kSecond);
	EXPECT_TRUE(directory.takesWork({"a", 2}, 4 * kSecond));
}

RC_GTEST_PROP(Departures, noServerIsUsedBeyondTheBoundWhileTheStoreAnswers,
			  (const std::vector<std::uint8_t>& spans))
{
	// Lists arrive at irregular intervals; the server leaves right after the first one was read.
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

TEST(StoreReachability, oneSilentReadProvesNothingBeforeTheTimeout)
{
	StoreReachability contact(kStoreTimeout);
	contact.onReadSent(kSecond);
	EXPECT_FALSE(contact.isUnreachable(kSecond + kStoreTimeout - 1));
	EXPECT_TRUE(contact.isUnreachable(kSecond + kStoreTimeout));
	contact.onBytesReceived(kSecond + kStoreTimeout);
	EXPECT_FALSE(contact.isUnreachable(kSecond + kStoreTimeout));
}

TEST(StoreReachability, anAbandonedReadCountsOnlyForTheTimeThatItWaited)
{
	// Reads that are abandoned and started again never detect a store that is slower than that.
	constexpr Micros kAbandonedAfter = kStoreTimeout * 3 / 4;
	StoreReachability contact(kStoreTimeout);
	Micros now = kSecond;
	for (int read = 0; read < 10; ++read)
	{
		contact.onReadSent(now);
		EXPECT_FALSE(contact.isUnreachable(now + kAbandonedAfter));
		contact.onReadAbandoned(now, now + kAbandonedAfter);
		now += kAbandonedAfter;
	}
	contact.onReadSent(now);
	EXPECT_TRUE(contact.isUnreachable(now + kStoreTimeout));
	contact.onReadAbandoned(now, now + kStoreTimeout);
	EXPECT_TRUE(contact.isUnreachable(now + kStoreTimeout));
}

TEST(StoreReachability, aTimeoutThatFiresAfterAStallProvesNothing)
{
	// The process was stalled: its timers fire before it reads the answers that have arrived.
	StoreReachability contact(kStoreTimeout);
	contact.onReadSent(kSecond);
	contact.onReadAbandoned(kSecond, kSecond + 2 * kStoreTimeout);
	EXPECT_FALSE(contact.isUnreachable(kSecond + 2 * kStoreTimeout));
	contact.onReadSent(kSecond + 2 * kStoreTimeout);
	EXPECT_FALSE(contact.isUnreachable(kSecond + 3 * kStoreTimeout - 1));
}

TEST(StoreReachability, aStoreThatRejectsReadsIsUnreachableFromTheSecondOneOn)
{
	StoreReachability contact(kStoreTimeout);
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

TEST(StoreReachability, aStallOfThisProcessIsNoSilenceOfTheStore)
{
	StoreReachability contact(kStoreTimeout);
	contact.onReadSent(kSecond);
	const Micros resumed = kSecond + 2 * kStoreTimeout;
	contact.onProcessStalled(2 * kStoreTimeout - kMillisecond, resumed);
	EXPECT_FALSE(contact.isUnreachable(resumed));
	EXPECT_TRUE(contact.isUnreachable(resumed + kStoreTimeout));
}

TEST(StoreReachability, findingsAreResetOnceTheListWasObtainedFromAnotherSource)
{
	StoreReachability contact(kStoreTimeout);
	contact.onReadSent(kSecond);
	ASSERT_TRUE(contact.isUnreachable(kSecond + kStoreTimeout));
	contact.onReadAbandoned(kSecond, kSecond + kStoreTimeout);
	ASSERT_TRUE(contact.isUnreachable(2 * kSecond + kStoreTimeout));
	contact.onReadSent(2 * kSecond + kStoreTimeout); // Another read is waiting.
	contact.resetFindings();
	EXPECT_FALSE(contact.isUnreachable(2 * kSecond + kStoreTimeout));
}

RC_GTEST_PROP(StoreReachability, aStoreThatAnswersWithinTheTimeoutIsNeverUnreachable,
			  (const std::vector<std::uint8_t>& latencies))
{
	// Reads overlap, and answers arrive in the order of the reads.
	StoreReachability contact(kStoreTimeout);
	std::deque<std::pair<Micros, Micros>> answers; ///< Times of arrival and of the request.
	Micros now = kSecond;
	Micros last = 0;
	for (const std::uint8_t latency : latencies)
	{
		contact.onReadSent(now);
		last = std::max(last, now + kStoreTimeout * latency / 256);
		answers.emplace_back(std::min(last, now + kStoreTimeout - 1), now);
		now += kListReadInterval;
		while (!answers.empty() && answers.front().first <= now)
		{
			const auto [arrived, asked] = answers.front();
			answers.pop_front();
			RC_ASSERT(!contact.isUnreachable(arrived));
			contact.onAnswered(asked, arrived);
		}
		RC_ASSERT(!contact.isUnreachable(now));
	}
}

TEST(ListReadPace, readsASilentStoreTwiceUntilItIsUnreachable)
{
	for (const Micros bound : {2 * kSecond, 3 * kSecond, 4 * kSecond})
	{
		const DrainBudget budget(bound);
		ListReadPace pace(budget);
		unsigned reads = 0;
		for (Micros now = kSecond; now < kSecond + budget.storeTimeout; now += kCheckInterval)
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

/// The store becomes slow between two answers; the list must stay young enough for sending requests by it.
TEST(ListReadPace, answersThatTakeHalfOfTheBoundKeepTheListYoungEnough)
{
	for (const Micros bound : {2 * kSecond, 3 * kSecond, 4 * kSecond})
	{
		const DrainBudget budget(bound);
		const Micros latency = bound / 2;
		ListReadPace pace(budget);
		std::deque<Micros> asked;
		Micros confirmed = kSecond;
		Micros oldest = 0;
		for (Micros now = kSecond + budget.listReadAge; now < 20 * kSecond; now += kCheckInterval)
		{
			// Counted from the first answer of the slow store: until then the list may be as old as the answer
			// takes.
			const bool slowAnswerArrived = confirmed > kSecond;
			oldest = slowAnswerArrived ? std::max(oldest, now - confirmed) : oldest;
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
		EXPECT_LE(oldest, budget.maxListAge + kCheckInterval) << bound;
	}
}

} // namespace beacongate::test
