// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests how a gateway asks for slots of brittle backend servers.

#include "coordination/slotpermits.h"
#include "coordination/admission/admissionrules.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace beacongate::test
{
namespace
{
constexpr Micros kPoll = 10 * kMillisecond;
const BackendKey kServer{"server"};
const SlotNeed kNeed{kServer, 4, 3.0, 0, SlotPermits::kMaxPatience};
} // namespace

/// A gateway whose three homes are other ones. All messages that it sends are kept.
class SlotPermitsTest : public testing::Test
{
protected:
	SlotPermitsTest()
	{
		permits.setSend([this](const std::string& _host, const SlotMessage& _message)
						{ sent.emplace_back(_host, _message); });
		permits.setMembers({{"b", "z", 0}, {"c", "z", 0}, {"d", "z", 0}});
		backend.key = kServer;
	}

	SlotVerdict take()
	{
		return permits.take(ticket, kNeed, now, [this] { ++decisions; });
	}

	/// Polls until the verdict is another one than Pending.
	SlotVerdict takeInTime()
	{
		SlotVerdict verdict = take();
		for (unsigned polls = 0; polls < 200 && verdict == SlotVerdict::Pending; ++polls)
		{
			now += kPoll;
			verdict = take();
		}
		return verdict;
	}

	template <typename Message> std::vector<Message> messages() const
	{
		std::vector<Message> found;
		for (const auto& [host, message] : sent)
		{
			const auto* content = std::get_if<Message>(&message);
			content ? found.push_back(*content) : void();
		}
		return found;
	}

	void answer(SlotOutcome _outcome, std::uint64_t _grant = 0)
	{
		const auto request = std::get<SlotRequest>(sent.back().second);
		const std::string host = sent.back().first;
		permits.onAnswer(host, {request.id, kServer, _outcome, _grant}, now);
	}

	void answerReferred(Micros _wait)
	{
		const auto request = std::get<SlotRequest>(sent.back().second);
		const std::string host = sent.back().first;
		permits.onAnswer(host, {request.id, kServer, SlotOutcome::Referred, 0, _wait}, now);
	}

	Balancer balancer{"z"};
	SlotGrantor grantor;
	SlotPermits permits{balancer, grantor, "a", 0};
	KnownBackend backend;
	SlotTicket ticket;
	std::vector<std::pair<std::string, SlotMessage>> sent;
	Micros now = kSecond;
	unsigned decisions = 0;
};

TEST_F(SlotPermitsTest, referredRequestGoesToTheOtherHomesAndThenToTheOneThatKnowsMost)
{
	take();
	const std::string first = sent.back().first;
	answerReferred(900 * kMillisecond);
	const std::string second = sent.back().first;
	EXPECT_NE(second, first);
	answerReferred(300 * kMillisecond);
	answerReferred(600 * kMillisecond);
	EXPECT_EQ(sent.back().first, second);
	EXPECT_TRUE(messages<SlotRequest>().back().insists);
	EXPECT_FALSE(messages<SlotRequest>().front().insists);
	answer(SlotOutcome::Granted, 1);
	EXPECT_EQ(take(), SlotVerdict::Granted);
	EXPECT_EQ(ticket.grantor, second);
	// Until a home knows what is in use it is not asked for nothing.
	now += 400 * kMillisecond;
	take();
	EXPECT_EQ(sent.back().first, second);
	EXPECT_FALSE(messages<SlotRequest>().back().insists);
}

TEST_F(SlotPermitsTest, homeThatDidNotAnswerIsAskedAgainOnceItIsHeard)
{
	take();
	const std::string first = sent.back().first;
	now += SlotPermits::kAnswerTimeout + 3 * kPoll;
	while (sent.back().first == first)
	{
		now += kPoll;
		take();
	}
	answer(SlotOutcome::Denied);
	take();
	permits.onHeard(first);
	take();
	EXPECT_EQ(sent.back().first, first);
}

// Prompts wait for less than kAnswerTimeout in all. If they were refused before the next home is asked, the engines
// of a home that has stopped would get none, and the home would not be passed over either.
TEST_F(SlotPermitsTest, promptIsSentToTheNextHomeWithinItsPatience)
{
	SlotNeed need = kNeed;
	need.prompts = true;
	need.patience = 90 * kMillisecond;
	permits.take(ticket, need, now, [] {});
	const std::string first = sent.front().first;
	const Micros until = now + need.patience;
	while (now < until && sent.back().first == first)
	{
		now += kPoll;
		permits.take(ticket, need, now, [] {});
	}
	EXPECT_NE(sent.back().first, first);
	EXPECT_LE(now, until - need.patience / 3);
	EXPECT_EQ(messages<SlotRequest>().size(), 3u) << "the first home is asked twice, since datagrams get lost";
	permits.abandon(ticket, now);
	permits.take(ticket, need, now, [] {});
	EXPECT_NE(sent.back().first, first) << "a home that did not answer is passed over";
}

TEST_F(SlotPermitsTest, grantedRequestMayBeSent)
{
	EXPECT_EQ(take(), SlotVerdict::Pending);
	answer(SlotOutcome::Granted, 7);
	EXPECT_EQ(decisions, 1u);
	EXPECT_EQ(take(), SlotVerdict::Granted);
}

TEST_F(SlotPermitsTest, requestIsSentAgainAndThenToTheNextHome)
{
	take();
	const std::string first = sent.front().first;
	now += SlotPermits::kResendDelay;
	take();
	now += kPoll;
	take();
	ASSERT_EQ(sent.size(), 2u);
	EXPECT_EQ(sent.back().first, first);
	for (unsigned polls = 0; polls < 10; ++polls)
	{
		now += kPoll;
		take();
	}
	EXPECT_NE(sent.back().first, first);
}

/// A request that is held for 62 ms waits longer for a home that does not answer. Guards against a refusal before
/// the next home is asked, with which no request would ever find out that the first home is silent.
TEST_F(SlotPermitsTest, requestThatIsHeldForAShortTimeIsNotRefusedWhileAHomeIsAsked)
{
	const HeldRequest held{now, now, 500 * kMillisecond, false};
	const auto mustRefuseNow = [&]
	{
		HeldRequest request = held;
		request.now = now;
		return mustRefuse(request, permits.isAsked(ticket));
	};
	EXPECT_FALSE(permits.isAsked(ticket));
	take();
	const std::string first = sent.front().first;
	for (unsigned polls = 0; polls < 20 && sent.back().first == first; ++polls)
	{
		ASSERT_FALSE(mustRefuseNow());
		now += kPoll;
		take();
	}
	ASSERT_NE(sent.back().first, first);
	EXPECT_FALSE(mustRefuseNow());
	answer(SlotOutcome::Queued);
	EXPECT_FALSE(permits.isAsked(ticket));
	EXPECT_TRUE(mustRefuseNow());
	answer(SlotOutcome::Granted, 1);
	EXPECT_EQ(take(), SlotVerdict::Granted);
	EXPECT_FALSE(permits.isAsked(ticket));
	EXPECT_FALSE(mustRefuse({now, held.received, held.target, true}, false))
		<< "a request that was sent is not refused";
}

TEST_F(SlotPermitsTest, withoutAnyAnswerThisGatewayUsesItsEqualShare)
{
	EXPECT_EQ(takeInTime(), SlotVerdict::Granted);
	balancer.onSent(kServer, {});
	EXPECT_EQ(takeInTime(), SlotVerdict::Denied); // One of four slots for each of three gateways.
}

TEST_F(SlotPermitsTest, grantThatNoRequestWaitsForIsReturned)
{
	take();
	const auto request = std::get<SlotRequest>(sent.back().second);
	const std::string home = sent.back().first;
	permits.abandon(ticket, now);
	permits.onAnswer(home, {request.id, kServer, SlotOutcome::Granted, 7}, now);
	ASSERT_FALSE(messages<SlotReport>().empty());
	EXPECT_EQ(messages<SlotReport>().front().use.inFlight, 0u);
}

TEST_F(SlotPermitsTest, grantOfARequestThatEndsBeforeItIsSentIsReturned)
{
	take();
	answer(SlotOutcome::Granted, 7);
	permits.abandon(ticket, now);
	ASSERT_FALSE(messages<SlotReport>().empty());
	EXPECT_EQ(messages<SlotReport>().front().use.lastGrant, 7u);
	EXPECT_EQ(messages<SlotReport>().front().use.inFlight, 0u);
}

TEST_F(SlotPermitsTest, serverThatIsGoneLeavesNothingInUse)
{
	take();
	answer(SlotOutcome::Granted, 7);
	permits.retain({});
	permits.abandon(ticket, now);
	EXPECT_EQ(messages<SlotReport>().front().use.inFlight, 0u);
}

TEST_F(SlotPermitsTest, reportOfTheLastRequestsEndIsRepeatedOnce)
{
	permits.onEnded(kServer, std::nullopt, false, now);
	const std::size_t homes = sent.size();
	for (unsigned round = 0; round < 5; ++round)
	{
		now += SlotPermits::kRepeatDelay;
		permits.report({kServer}, now);
	}
	EXPECT_EQ(sent.size(), 2 * homes);
}

TEST_F(SlotPermitsTest, abandonedRequestCountsForAWhile)
{
	permits.onEnded(kServer, std::nullopt, true, now);
	EXPECT_EQ(messages<SlotReport>().back().use.inFlight, 1u);
	now += SlotPermits::kAbandonedSpan;
	permits.onEnded(kServer, std::nullopt, false, now);
	EXPECT_EQ(messages<SlotReport>().back().use.inFlight, 0u);
}

/// The same gateway, and a server with a limit.
class PacedPermitsTest : public SlotPermitsTest
{
protected:
	static constexpr double kLimit = 2.0;

	PacedPermitsTest()
	{
		permits.setTakeTurn([this](BackendKey) { return untilTurn; });
	}

	SlotVerdict takePaced()
	{
		const SlotNeed need{kServer, 4, std::nullopt, 0, kSecond, kLimit};
		return permits.take(ticket, need, now, [this] { ++decisions; });
	}

	SlotVerdict takePacedInTime()
	{
		SlotVerdict verdict = takePaced();
		for (unsigned polls = 0; polls < 200 && verdict == SlotVerdict::Pending; ++polls)
		{
			now += kPoll;
			verdict = takePaced();
		}
		return verdict;
	}

	void deny(Micros _wait)
	{
		const auto request = std::get<SlotRequest>(sent.back().second);
		permits.onAnswer(sent.back().first, {request.id, kServer, SlotOutcome::Denied, 0, _wait}, now);
	}

	Availability narrowed()
	{
		Availability available;
		available.open = {&backend};
		permits.narrow(available, ticket, now);
		return available;
	}

	Micros untilTurn = 0;
};

TEST_F(PacedPermitsTest, limitIsAskedWithTheRequest)
{
	takePaced();
	ASSERT_EQ(messages<SlotRequest>().size(), 1u);
	EXPECT_EQ(messages<SlotRequest>().front().limit, kLimit);
	EXPECT_FALSE(messages<SlotRequest>().front().rejections);
	answer(SlotOutcome::Granted, 7);
	EXPECT_EQ(takePaced(), SlotVerdict::Granted);
	EXPECT_TRUE(ticket.paced);
}

TEST_F(PacedPermitsTest, serverAtItsLimitIsLeftOutUntilItHasRoom)
{
	takePaced();
	deny(400 * kMillisecond);
	EXPECT_EQ(takePaced(), SlotVerdict::Denied);
	EXPECT_TRUE(narrowed().waitsForBackoff());
	EXPECT_EQ(narrowed().earliestEnd, now + 400 * kMillisecond);
	now += 400 * kMillisecond;
	EXPECT_EQ(narrowed().open.size(), 1u);
}

TEST_F(PacedPermitsTest, serverWhoseLimitEndedIsUsedAtOnce)
{
	takePaced();
	deny(400 * kMillisecond);
	takePaced();
	permits.onLimitEnded(kServer);
	EXPECT_EQ(narrowed().open.size(), 1u);
}

TEST_F(PacedPermitsTest, withoutAnyAnswerThisGatewayTakesItsTurnsAndTellsTheHomes)
{
	EXPECT_EQ(takePacedInTime(), SlotVerdict::Granted);
	EXPECT_EQ(messages<GrantNotice>().size(), SlotPermits::kHomes) << "no home has answered, so all are told";
	untilTurn = 3 * kSecond;
	EXPECT_EQ(takePacedInTime(), SlotVerdict::Denied);
	EXPECT_EQ(narrowed().earliestEnd, now + untilTurn);
	EXPECT_EQ(messages<GrantNotice>().size(), SlotPermits::kHomes);
}

TEST_F(PacedPermitsTest, grantThatCameLateIsReturnedOnce)
{
	takePaced();
	const auto request = std::get<SlotRequest>(sent.back().second);
	const std::string home = sent.back().first;
	permits.onAnswer(home, {request.id, kServer, SlotOutcome::Queued, 0}, now);
	permits.abandon(ticket, now);
	const auto countUnused = [this]
	{
		const auto reports = messages<SlotReport>();
		return std::count_if(reports.begin(), reports.end(),
							 [](const SlotReport& _report) { return _report.unused; });
	};
	permits.onAnswer(home, {request.id, kServer, SlotOutcome::Granted, 7}, now);
	permits.onAnswer(home, {request.id, kServer, SlotOutcome::Granted, 7}, now);
	EXPECT_EQ(countUnused(), SlotPermits::kReported) << "the grantor, and the home that it has told";
}

TEST_F(PacedPermitsTest, answerThatArrivesTwiceIsNoSecondGrant)
{
	takePaced();
	const auto request = std::get<SlotRequest>(sent.back().second);
	const std::string home = sent.back().first;
	answer(SlotOutcome::Granted, 7);
	EXPECT_EQ(takePaced(), SlotVerdict::Granted);
	permits.onAnswer(home, {request.id, kServer, SlotOutcome::Granted, 7}, now);
	for (const SlotReport& report : messages<SlotReport>())
	{
		EXPECT_FALSE(report.unused);
	}
}

TEST_F(PacedPermitsTest, grantFromBeforeAStandstillIsNotUsed)
{
	takePaced();
	now += 2 * kSecond;
	answer(SlotOutcome::Granted, 7);
	EXPECT_EQ(takePaced(), SlotVerdict::Denied);
}

} // namespace beacongate::test
