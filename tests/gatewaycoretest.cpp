// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the gateway's other decisions: attempts, gossip, the duty lease, time and stops.

#include "coordination/agreedclock.h"
#include "coordination/attemptpolicy.h"
#include "coordination/dutylease.h"
#include "coordination/gossipplan.h"
#include "coordination/peertable.h"
#include "coordination/stoppolicy.h"
#include "coordination/usageledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <set>

namespace beacongate::test
{
RC_GTEST_PROP(GossipPlan, isBoundedAndAlwaysIncludesTheDutyHolder, ())
{
	const int known = *rc::gen::inRange(1, 200);
	const int chosen = *rc::gen::inRange(0, known);
	std::vector<std::string> hosts;
	hosts.reserve(static_cast<std::size_t>(known));
	for (int number = 0; number < known; ++number)
	{
		hosts.push_back("h" + std::to_string(number));
	}
	std::minstd_rand random(static_cast<std::minstd_rand::result_type>(known * 1000 + chosen));
	const std::optional<std::string> holder = hosts[static_cast<std::size_t>(chosen)];
	const std::vector<std::string> targets = GossipPlan::targets(hosts, holder, 16, random);
	RC_ASSERT(targets.size() == std::min<std::size_t>(16, hosts.size()));
	RC_ASSERT(std::set<std::string>(targets.begin(), targets.end()).size() == targets.size());
	RC_ASSERT(std::find(targets.begin(), targets.end(), *holder) != targets.end());
	RC_ASSERT(GossipPlan::targets(hosts, std::nullopt, 16, random).size() == targets.size());
}

TEST(GossipPlan, sendsUsageToTheDutyHolderEachRoundAndToOthersPeriodically)
{
	EXPECT_TRUE(GossipPlan::sectionsFor("a", "a", true, 3).usage);
	EXPECT_FALSE(GossipPlan::sectionsFor("b", "a", true, 3).usage);
	EXPECT_FALSE(GossipPlan::sectionsFor("a", "a", true, 3).members);
	EXPECT_TRUE(GossipPlan::sectionsFor("b", std::nullopt, true, 3).usage) << "no duty holder is known";
	EXPECT_TRUE(GossipPlan::sectionsFor("b", "a", true, 0).usage);
	EXPECT_TRUE(GossipPlan::sectionsFor("b", "a", false, 3).usage) << "all are reached in each round";
	EXPECT_TRUE(GossipPlan::sectionsFor("b", "a", true, GossipPlan::kFullReportRounds).members);
}

RC_GTEST_PROP(AttemptPolicy, respectsRepeatabilityAndLimits,
			  (const std::vector<std::uint8_t>& results, bool repeatable))
{
	AttemptContext context;
	context.repeatable = repeatable;
	context.maxAttempts = 1 + static_cast<unsigned>(results.size() % 3);
	context.anotherBackend = true;
	context.timeLeft = true;
	unsigned mayHaveRunCount = 0;
	unsigned tries = 0;
	for (const std::uint8_t seed : results)
	{
		++tries;
		const auto result = static_cast<AttemptResult>(seed % 5);
		context.budgetAllows = seed < 200;
		context.sent += result == AttemptResult::NotSent ? 0 : 1;
		context.unsentTries += result == AttemptResult::NotSent ? 1 : 0;
		const AttemptDecision decision = decideAfterAttempt(result, context);
		mayHaveRunCount += mayHaveRunAfter(result) ? 1 : 0;
		context.mayHaveRun = context.mayHaveRun || mayHaveRunAfter(result);
		RC_ASSERT(context.sent <= context.maxAttempts);
		if (decision == AttemptDecision::AnswerNotRun)
		{
			RC_ASSERT(mayHaveRunCount == 0u);
		}
		if (decision != AttemptDecision::Retry)
		{
			return;
		}
		RC_ASSERT(repeatable || mayHaveRunCount == 0u);
		RC_ASSERT(context.sent == 0u || context.budgetAllows);
	}
	RC_ASSERT(tries <= context.maxAttempts + kMaxUnsentTries);
}

TEST(AttemptPolicy, requestThatMayCrashItsServersIsNotRetried)
{
	AttemptContext context;
	context.repeatable = true;
	context.sent = 1;
	context.maxAttempts = 3;
	context.budgetAllows = true;
	context.anotherBackend = true;
	context.timeLeft = true;
	EXPECT_EQ(decideAfterAttempt(AttemptResult::Broken, context), AttemptDecision::Retry);
	context.mayCrash = true;
	EXPECT_EQ(decideAfterAttempt(AttemptResult::Broken, context), AttemptDecision::AnswerUnknown);
}

TEST(AttemptPolicy, refusedConnectionsAreTriedElsewhereUpToABound)
{
	AttemptContext context;
	context.anotherBackend = true;
	context.timeLeft = true;
	context.refusedTries = kMaxRefusedTries - 1;
	EXPECT_EQ(decideAfterAttempt(AttemptResult::NotSent, context), AttemptDecision::Retry);
	context.refusedTries = kMaxRefusedTries;
	EXPECT_EQ(decideAfterAttempt(AttemptResult::NotSent, context), AttemptDecision::AnswerNotRun);
	context.refusedTries = 0;
	context.unsentTries = kMaxUnsentTries;
	EXPECT_EQ(decideAfterAttempt(AttemptResult::NotSent, context), AttemptDecision::AnswerNotRun);
}

RC_GTEST_PROP(DutyLease, twoHoldersNeverActAtTheSameTime, (const std::vector<std::uint8_t>& steps))
{
	// A lease in the store runs from when a call arrives; a holder counts from when it was sent, and may be
	// stalled for less than the margin between reading the clock and sending its call.
	constexpr Micros kSpan = 3 * kSecond;
	DutyLease holders[2];
	int owner = -1;
	Micros storeUntil = 0;
	std::uint64_t fence = 0;
	Micros now = kSecond;
	for (const std::uint8_t step : steps)
	{
		now += static_cast<Micros>(step % 16) * 100 * kMillisecond;
		const int caller = step / 16 % 2;
		const Micros latency = static_cast<Micros>(step / 32) * 50 * kMillisecond;
		const Micros sent = now;
		now += latency;
		if (now >= storeUntil)
		{
			owner = -1;
		}
		if (owner == -1)
		{
			owner = caller;
			holders[caller].onAcquired(++fence, sent, kSpan);
			storeUntil = now + kSpan;
		}
		else if (owner == caller && holders[caller].held(sent))
		{
			holders[caller].onRenewed(sent, kSpan);
			storeUntil = now + kSpan;
		}
		RC_ASSERT(!(holders[0].mayAct(now) && holders[1].mayAct(now)));
		const int other = 1 - (owner == -1 ? 0 : owner);
		RC_ASSERT(owner == -1 || !holders[other].mayAct(now));
	}
}

TEST(PeerTable, aMessageThatWaitedDuringAStallProvesNothing)
{
	PeerTable peers("10.0.0.1");
	GossipMessage message;
	message.run = {"b", 7};
	message.host = "10.0.0.2";
	message.sent = 5 * kSecond;
	message.echo = 10 * kSecond;
	message.configAge = 100 * kMillisecond;
	EXPECT_TRUE(peers.onMessage(message, 10 * kSecond + 200 * kMillisecond));
	EXPECT_TRUE(peers.newestConfigHost(9 * kSecond, 10 * kSecond + 200 * kMillisecond));
	message.echo = 11 * kSecond;
	EXPECT_FALSE(peers.onMessage(message, 16 * kSecond));
	EXPECT_FALSE(peers.newestConfigHost(9 * kSecond, 16 * kSecond));
}

TEST(PeerTable, aPeersReportIsAsOldAsTheTimestampThatItEchoes)
{
	PeerTable peers("10.0.0.1");
	GossipMessage message;
	message.run = {"b", 7};
	message.host = "10.0.0.2";
	message.echo = 10 * kSecond;
	message.configAge = 300 * kMillisecond;
	ASSERT_TRUE(peers.onMessage(message, 10 * kSecond + 900 * kMillisecond));
	EXPECT_EQ(peers.peers().at("10.0.0.2").confirmed, 10 * kSecond - 300 * kMillisecond);
}

TEST(PeerTable, countsMembersThatAreListedOrWereHeard)
{
	PeerTable peers("10.0.0.1");
	peers.setSeeds({{"10.0.0.9", 1}, {"10.0.0.1", 1}});
	peers.setRegistered({"10.0.0.1", "10.0.0.2"});
	EXPECT_EQ(peers.memberCount(kSecond), 2u);
	EXPECT_EQ(peers.targets(kSecond), (std::vector<std::string>{"10.0.0.2", "10.0.0.9"}));
}

RC_GTEST_PROP(AgreedClock, aMinorityOfSteppingClocksChangesNothing, (const std::vector<std::int16_t>& steps))
{
	AgreedClock clock;
	const Micros trueStart = 1000 * kSecond;
	Micros now = kSecond;
	for (const std::int16_t step : steps)
	{
		now += 100 * kMillisecond;
		const Micros jump = static_cast<Micros>(step) * kMillisecond;
		for (int peer = 0; peer < 4; ++peer)
		{
			clock.onSample(std::to_string(peer), trueStart + now + (peer < 2 ? jump : 0), now);
		}
		clock.update(trueStart + now, now);
		RC_ASSERT(clock.trueTime(now) == trueStart + now);
	}
}

TEST(AgreedClock, keepsTheAgreedTimeIfFewClocksAreHeard)
{
	AgreedClock clock;
	clock.onSample("a", 500 * kSecond, kSecond);
	clock.onSample("b", 500 * kSecond, kSecond);
	clock.update(500 * kSecond, kSecond);
	EXPECT_EQ(clock.trueTime(kSecond), 500 * kSecond);
	clock.update(100 * kSecond, 20 * kSecond);
	EXPECT_EQ(clock.trueTime(20 * kSecond), 519 * kSecond);
}

TEST(UsageLedger, countsOutliveTheGatewayThatReportedThem)
{
	UsageLedger ledger({"a", 1});
	ledger.onRequestStarted(10, "team");
	ledger.onReport({"b", 5}, {10, "team", 3});
	ledger.onReport({"b", 5}, {10, "team", 2}); // A late report: counts only grow.
	ledger.onReport({"b", 6}, {10, "team", 1}); // A later run of the same gateway is counted separately.
	EXPECT_EQ(ledger.totals(10).at("team"), 5u);
	ledger.advance(10 + UsageLedger::kRetainedWindows + 1);
	EXPECT_TRUE(ledger.totals(10).empty());
}

TEST(StopPolicy, aRequestThatMightNotEndInTimeIsNotAccepted)
{
	const StopPolicy policy(8 * kSecond);
	EXPECT_TRUE(policy.acceptsRequests(2 * kSecond));
	EXPECT_FALSE(policy.acceptsRequests(3 * kSecond));
	EXPECT_FALSE(policy.closesIdle(3 * kSecond));
	EXPECT_TRUE(policy.closesIdle(4 * kSecond));
	EXPECT_FALSE(policy.mustAbort(7 * kSecond));
	EXPECT_TRUE(policy.mustAbort(8 * kSecond - 100 * kMillisecond));
}

TEST(StopPolicy, aRequestThatWaitsIsNotSentWhenItsAnswerWouldBeAborted)
{
	for (const Micros grace : {2 * kSecond, 4 * kSecond, 8 * kSecond, 30 * kSecond})
	{
		const StopPolicy policy(grace);
		for (Micros expected = 100 * kMillisecond; expected < 40 * kSecond; expected *= 2)
		{
			const Micros latest = policy.latestStart(expected);
			EXPECT_FALSE(policy.mustAbort(latest));
			EXPECT_FALSE(policy.acceptsRequests(latest)) << "an accepted request would not be sent";
			EXPECT_TRUE(policy.acceptsRequests(latest - 1) || !policy.mustAbort(latest + expected - 1));
		}
	}
}

} // namespace beacongate::test
