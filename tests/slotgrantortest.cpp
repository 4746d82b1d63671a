// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the grantor of a brittle backend server's slots by itself.

#include "coordination/slotgrantor.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr unsigned kSlots = 4;
constexpr double kRejections = 8.0;
constexpr Micros kPatience = 100 * kMillisecond;
const BackendKey kServer{"server"};

SlotRequest request(std::uint64_t _id, unsigned _inFlight = 0, std::uint64_t _lastGrant = 0, unsigned _priority = 0)
{
	return {_id, {kServer, _inFlight, _lastGrant}, kSlots, kRejections, _priority, kPatience, std::nullopt, true};
}
} // namespace

class SlotGrantorTest : public testing::Test
{
protected:
	SlotGrantorTest()
	{
		grantor.setSend([this](const std::string& _host, const SlotAnswer& _answer)
						{ sent.emplace_back(_host, _answer.id); });
	}

	/// Grants all slots to one gateway, one after the other so that each counts as proven.
	/// @returns the last grant.
	SlotAnswer grantAll(const std::string& _host)
	{
		SlotAnswer last;
		for (unsigned number = 1; number <= kSlots; ++number)
		{
			now += SlotGrantor::kTrialSpan;
			last = grantor.decide(request(number, number - 1, last.grant), _host, 0, now);
			EXPECT_EQ(last.outcome, SlotOutcome::Granted) << number;
		}
		return last;
	}

	SlotGrantor grantor;
	std::vector<std::pair<std::string, std::uint64_t>> sent;
	Micros now = kSecond;
};

TEST_F(SlotGrantorTest, neverGrantsMoreThanTheSlots)
{
	grantAll("a");
	EXPECT_EQ(grantor.decide(request(9), "b", 0, now).outcome, SlotOutcome::Queued);
}

TEST_F(SlotGrantorTest, homeThatHasJustStartedRefersUnlessNoOtherKnowsMore)
{
	SlotRequest asked = request(1);
	asked.insists = false;
	const SlotAnswer referral = grantor.decide(asked, "a", 0, now);
	EXPECT_EQ(referral.outcome, SlotOutcome::Referred);
	EXPECT_EQ(referral.wait, SlotGrantor::kStartSpan);
	EXPECT_EQ(grantor.decide(request(1), "a", 0, now).outcome, SlotOutcome::Granted);
	now += SlotGrantor::kStartSpan;
	asked.id = 2;
	EXPECT_EQ(grantor.decide(asked, "a", 0, now).outcome, SlotOutcome::Granted);
}

TEST_F(SlotGrantorTest, slotsThatAnotherHomeGrantedAreInUse)
{
	for (unsigned number = 1; number <= kSlots; ++number)
	{
		grantor.onNotice({kServer, "a", number}, now);
	}
	EXPECT_EQ(grantor.decide(request(9), "b", 0, now).outcome, SlotOutcome::Queued);
	grantor.onReport({{kServer, 0, 0}}, "a", now);
	EXPECT_EQ(sent.size(), 1u);
}

TEST_F(SlotGrantorTest, serverThatRejectsMoreThanItBearsIsOverloaded)
{
	std::vector<BackendKey> overloaded;
	grantor.setOverloaded([&](BackendKey _key, Micros) { overloaded.push_back(_key); });
	const SlotReport rejection{{kServer, 0, 0}, true, false, 2.0};
	grantor.onReport(rejection, "a", now);
	grantor.onReport(rejection, "b", now);
	now += kSecond;
	grantor.onReport(rejection, "a", now);
	grantor.onReport(rejection, "b", now);
	EXPECT_TRUE(overloaded.empty()) << "it bears two a second";
	grantor.onReport(rejection, "c", now);
	EXPECT_EQ(overloaded, std::vector<BackendKey>{kServer});
}

TEST_F(SlotGrantorTest, freedSlotGoesToTheMostUrgentRequest)
{
	const SlotAnswer last = grantAll("a");
	grantor.decide(request(1, 0, 0, 2), "b", 0, now);
	grantor.decide(request(1, 0, 0, 1), "c", 0, now);
	grantor.onReport({{kServer, kSlots - 1, last.grant}, false}, "a", now);
	ASSERT_EQ(sent.size(), 1u);
	EXPECT_EQ(sent.front().first, "c");
}

TEST_F(SlotGrantorTest, requestThatComesAgainGetsTheSameGrant)
{
	const SlotAnswer first = grantor.decide(request(1), "a", 0, now);
	EXPECT_EQ(grantor.decide(request(1), "a", 0, now).grant, first.grant);
}

TEST_F(SlotGrantorTest, queueIsBounded)
{
	grantAll("a");
	for (std::uint64_t id = 1; id <= std::uint64_t{SlotGrantor::kQueueFactor} * kSlots; ++id)
	{
		EXPECT_EQ(grantor.decide(request(id), "b", 0, now).outcome, SlotOutcome::Queued);
	}
	EXPECT_EQ(grantor.decide(request(99), "b", 0, now).outcome, SlotOutcome::Denied);
}

TEST_F(SlotGrantorTest, slotsOfAGatewayThatIsGoneAreGrantedAgain)
{
	const SlotAnswer last = grantAll("a");
	grantor.onReport({{kServer, kSlots, last.grant}, false}, "a", now);
	now += SlotGrantor::kUseLifetime + 1;
	EXPECT_EQ(grantor.decide(request(9), "b", 0, now).outcome, SlotOutcome::Granted);
}

TEST_F(SlotGrantorTest, grantWhoseAnswerWasLostIsGrantedAgain)
{
	grantAll("a");
	now += SlotGrantor::kGrantLifetime + SlotGrantor::kTrialSpan + 1;
	EXPECT_EQ(grantor.decide(request(9), "b", 0, now).outcome, SlotOutcome::Granted);
}

TEST_F(SlotGrantorTest, requestsInFlightBeforeTheFirstOneCount)
{
	EXPECT_EQ(grantor.decide(request(1), "a", kSlots, now).outcome, SlotOutcome::Queued);
	grantor.onReport({{kServer, kSlots, 0}, false}, "b", now);
	now += SlotGrantor::kStartSpan;
	EXPECT_EQ(grantor.decide(request(2), "a", 0, now).outcome, SlotOutcome::Queued);
}

TEST_F(SlotGrantorTest, rejectionLowersTheSlotsThatAreUsed)
{
	const SlotAnswer last = grantAll("a");
	// The server rejected the fourth request, and goes on with three.
	grantor.onReport({{kServer, kSlots - 1, last.grant}, true}, "a", now);
	EXPECT_EQ(grantor.decide(request(9), "b", 0, now).outcome, SlotOutcome::Queued);
	grantor.onReport({{kServer, kSlots - 2, last.grant}, false}, "a", now);
	EXPECT_EQ(sent.size(), 1u);
}

TEST_F(SlotGrantorTest, trialsNeverCauseMoreRejectionsThanAreBorne)
{
	unsigned rejected = 0;
	std::uint64_t id = 0;
	SlotAnswer last;
	// The server has room for two requests, which never end.
	for (const Micros end = now + kSecond; now < end; now += kMillisecond)
	{
		const unsigned running = std::min(2u, static_cast<unsigned>(last.grant) - rejected);
		const SlotAnswer answer = grantor.decide(request(++id, running, last.grant), "a", 0, now);
		if (answer.outcome == SlotOutcome::Granted)
		{
			last = answer;
			const bool noRoom = running == 2;
			rejected += noRoom ? 1 : 0;
			grantor.onReport({{kServer, noRoom ? 2 : running + 1, last.grant}, noRoom}, "a", now);
		}
	}
	EXPECT_GT(rejected, 0u);
	EXPECT_LE(rejected, kRejections * SlotGrantor::kTrialsShare);
}

/// A server with a limit of ten requests a second.
class PacedGrantorTest : public SlotGrantorTest
{
protected:
	static constexpr double kLimit = 10.0;
	static constexpr Micros kInterval = 100 * kMillisecond;

	PacedGrantorTest()
	{
		grantor.setNotify([this](const GrantNotice& _notice, Micros) { notices.push_back(_notice); });
		ask("a", 0); // The grantor begins to pace the server.
		now += 10 * kSecond;
		notices.clear();
	}

	SlotAnswer ask(const std::string& _host, Micros _patience)
	{
		return grantor.decide({++m_lastId, {kServer, 0, 0}, kSlots, std::nullopt, 0, _patience, kLimit}, _host, 0,
							  now);
	}

	/// @returns the number of requests that are granted at once.
	unsigned countGranted()
	{
		unsigned granted = 0;
		while (ask("a", 0).outcome == SlotOutcome::Granted)
		{
			++granted;
		}
		return granted;
	}

	std::vector<GrantNotice> notices;

private:
	std::uint64_t m_lastId = 0;
};

TEST_F(PacedGrantorTest, requestsAreGrantedAtTheServersRate)
{
	EXPECT_EQ(countGranted(), 5u) << "the requests of half a second may be sent at once";
	unsigned granted = 0;
	for (const Micros end = now + 4 * kSecond; now < end; now += 10 * kMillisecond)
	{
		granted += countGranted();
	}
	EXPECT_NEAR(granted, 40, 1);
	EXPECT_EQ(notices.size(), granted + 5);
	EXPECT_TRUE(std::all_of(notices.begin(), notices.end(),
							[](const GrantNotice& _notice) { return _notice.limit == kLimit; }));
}

TEST_F(PacedGrantorTest, grantorThatHasJustBegunGrantsNoBurst)
{
	SlotGrantor restarted;
	const SlotRequest first{1, {kServer, 0, 0}, kSlots, std::nullopt, 0, 0, kLimit};
	const SlotRequest second{2, {kServer, 0, 0}, kSlots, std::nullopt, 0, 0, kLimit};
	EXPECT_EQ(restarted.decide(first, "a", 0, now).outcome, SlotOutcome::Granted);
	const SlotAnswer answer = restarted.decide(second, "a", 0, now);
	EXPECT_EQ(answer.outcome, SlotOutcome::Denied);
	EXPECT_EQ(answer.wait, kInterval);
}

TEST_F(PacedGrantorTest, requestIsQueuedOnlyIfItsTurnComesInTime)
{
	countGranted();
	EXPECT_EQ(ask("a", 2 * kInterval).outcome, SlotOutcome::Queued);
	EXPECT_EQ(ask("b", 2 * kInterval).outcome, SlotOutcome::Queued);
	const SlotAnswer third = ask("c", 2 * kInterval);
	EXPECT_EQ(third.outcome, SlotOutcome::Denied);
	EXPECT_EQ(third.wait, 3 * kInterval);
	now += kInterval;
	grantor.advance(now);
	EXPECT_EQ(sent.size(), 1u);
	now += kInterval;
	grantor.advance(now);
	EXPECT_EQ(sent.size(), 2u);
}

TEST_F(PacedGrantorTest, requestsThatOthersGrantedCount)
{
	for (unsigned number = 0; number < 5; ++number)
	{
		grantor.onNotice({kServer, "b", 1, kLimit}, now);
	}
	EXPECT_EQ(ask("a", 0).outcome, SlotOutcome::Denied);
}

TEST_F(PacedGrantorTest, grantThatIsReturnedIsGrantedAgain)
{
	countGranted();
	grantor.onReport({{kServer, 0, 0}, false, true}, "a", now);
	EXPECT_EQ(countGranted(), 1u);
}

TEST_F(PacedGrantorTest, brittleServerIsNotPacedAfterItsLimitEnded)
{
	grantor.onLimitEnded(kServer);
	EXPECT_EQ(grantor.decide(request(99), "a", 0, now).outcome, SlotOutcome::Granted);
	ASSERT_EQ(notices.size(), 1u);
	EXPECT_FALSE(notices.front().limit);
}

TEST_F(PacedGrantorTest, questionsOfDeniedGatewaysAreSpread)
{
	countGranted();
	const Micros first = ask("a", 0).wait;
	for (unsigned number = 0; number < 2000; ++number)
	{
		ask("b", 0);
	}
	const Micros last = ask("c", 0).wait;
	EXPECT_GE(last, first + SlotGrantor::kMaxAskDelay / 2);
	EXPECT_LE(last, kInterval + SlotGrantor::kMaxAskDelay);
}

} // namespace beacongate::test
