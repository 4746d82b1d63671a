// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Limits that backend servers name, over fleets of gateways in virtual time.

#include "coordination/backendlimits.h"
#include "coordination/overloadpolicy.h"
#include "golden.h"
#include "protocol/crashcodec.h"
#include "protocol/gossipcodec.h"
#include "protocol/limitcodec.h"
#include "protocol/quotacodec.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kStart = 1'796'000'000 * kSecond; ///< Agreed time at the start.
constexpr Micros kWindow = 4 * kSecond;
constexpr double kTolerance = 1.5; ///< Factor on what a limit allows in a window.
constexpr double kSlack = 5.0;     ///< Requests in a window on top.
const BackendKey kServer("w1", 1);

/// A fleet whose gateways all know a server's limit.
struct LimitFleet
{
	unsigned gateways = 8;
	double limit = 1.0;
	double requestsASecond = 40.0; ///< Requests of all gateways that could go to the server.
	Micros clockError = 0;         ///< Largest error of a gateway's agreed time.
	double membersWrong = 0.0;     ///< Share of gateways that miss one member.
	Micros span = 60 * kSecond;

	/// @returns the times at which requests were sent.
	std::deque<Micros> run(std::uint64_t _seed) const
	{
		std::minstd_rand random(static_cast<std::minstd_rand::result_type>(_seed + 1));
		std::uniform_real_distribution<double> draw;
		std::vector<BackendLimits> tables(gateways);
		std::vector<Micros> errors;
		for (unsigned number = 0; number < gateways; ++number)
		{
			const bool wrong = gateways > 1 && draw(random) < membersWrong;
			tables[number].setMembers(gateways - (wrong ? 1 : 0), number);
			errors.push_back(static_cast<Micros>((2.0 * draw(random) - 1.0) * static_cast<double>(clockError)));
			tables[number].onAnswer(kServer, limit, 0, 0, kStart + errors.back());
		}
		std::deque<Micros> sent;
		std::exponential_distribution<double> gap(requestsASecond);
		for (Micros now = 0; now < span; now += static_cast<Micros>(gap(random) * static_cast<double>(kSecond)))
		{
			const std::size_t number = random() % gateways;
			if (tables[number].takeTurn(kServer, kStart + now + errors[number]) == 0)
			{
				sent.push_back(now);
			}
		}
		return sent;
	}
};

std::size_t maxInWindow(const std::deque<Micros>& _sent)
{
	std::size_t largest = 0;
	for (auto first = _sent.begin(); first != _sent.end(); ++first)
	{
		const auto end = std::lower_bound(first, _sent.end(), *first + kWindow);
		largest = std::max(largest, static_cast<std::size_t>(std::distance(first, end)));
	}
	return largest;
}

/// Checks that a limit is kept over seeds, and used where there is demand.
/// @param[in] _usedShare Least share of the limit that is used.
void expectKeptAndUsed(const LimitFleet& _fleet, double _usedShare)
{
	constexpr std::uint64_t kSeeds = 20;
	double used = 0.0;
	for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
	{
		const auto sent = _fleet.run(seed);
		EXPECT_LE(static_cast<double>(maxInWindow(sent)), kTolerance * _fleet.limit * 4.0 + kSlack)
			<< "seed " << seed;
		used += static_cast<double>(sent.size());
	}
	const double share = used / static_cast<double>(kSeeds) / (_fleet.limit * secondsOf(_fleet.span));
	EXPECT_GE(share, _usedShare);
	std::cout << _fleet.gateways << " gateways, limit " << _fleet.limit << ": used " << share << '\n';
}
} // namespace

TEST(BackendLimits, areKeptAndUsedByFleetsOfAnySize)
{
	for (const unsigned gateways : {1u, 3u, 8u, 40u, 300u})
	{
		for (const double limit : {0.5, 1.0, 4.0, 30.0})
		{
			// Each gateway has about five requests a second, as on the deployments so far.
			expectKeptAndUsed({gateways, limit, std::max(5.0 * gateways, 3.0 * limit)}, 0.8);
		}
	}
}

TEST(BackendLimits, areKeptWhileClocksDiffer)
{
	expectKeptAndUsed({8, 1.0, 40.0, 300 * kMillisecond}, 0.8);
	expectKeptAndUsed({40, 4.0, 200.0, 300 * kMillisecond}, 0.8);
}

TEST(BackendLimits, areKeptWhileGatewaysDisagreeOnTheMembers)
{
	expectKeptAndUsed({8, 1.0, 40.0, 0, 0.5}, 0.7);
	expectKeptAndUsed({40, 4.0, 200.0, 0, 0.5}, 0.7);
}

TEST(BackendLimits, serverWithoutALimitIsNotLimited)
{
	BackendLimits limits;
	EXPECT_EQ(limits.takeTurn(kServer, kStart), 0);
	limits.onAnswer(kServer, std::nullopt, 1, 2, kStart);
	EXPECT_EQ(limits.takeTurn(kServer, kStart), 0);
	EXPECT_EQ(limits.size(), 0u);
}

TEST(BackendLimits, limitEndsWithAnAnswerToALaterRequestThatNamesNone)
{
	BackendLimits limits;
	limits.onAnswer(kServer, 2.0, 10, 20, kStart + 20);
	limits.onAnswer(kServer, std::nullopt, 15, 25,
					kStart + 25); // Sent before the limit was known: it was overtaken.
	EXPECT_EQ(limits.limitOf(kServer), 2.0);
	limits.onAnswer(kServer, std::nullopt, 21, 30, kStart + 30);
	EXPECT_EQ(limits.limitOf(kServer), std::nullopt);
	EXPECT_EQ(limits.size(), 0u);
}

TEST(BackendLimits, gatewaysTellEachOtherOfALimitAndOfItsEnd)
{
	BackendLimits first;
	BackendLimits second;
	first.onAnswer(kServer, 2.0, 0, 10, kStart + 10);
	second.merge(first.takeChanges(false, kMaxLimitRecords, kStart + 50), kStart + 60);
	EXPECT_EQ(second.limitOf(kServer), 2.0);
	EXPECT_TRUE(second.takeChanges(false, kMaxLimitRecords, kStart + 70).empty());
	EXPECT_EQ(second.takeChanges(true, kMaxLimitRecords, kStart + 70).size(), 1u);
	second.onAnswer(kServer, std::nullopt, 100, 110, kStart + 110);
	first.merge(second.takeChanges(false, kMaxLimitRecords, kStart + 120), kStart + 130);
	EXPECT_EQ(first.limitOf(kServer), std::nullopt);
	first.merge({{kServer, 2.0, 100}}, kStart + 140); // Said before the limit ended.
	EXPECT_EQ(first.limitOf(kServer), std::nullopt);
}

TEST(BackendLimits, reportsAreEncodedAndOtherDatagramsAreNone)
{
	const std::vector<BackendLimitRecord> records{{kServer, 2.5, 1000}, {BackendKey("w2", 1), std::nullopt, 0}};
	const std::string bytes = encodeLimits(records);
	EXPECT_TRUE(isLimitDatagram(bytes));
	EXPECT_FALSE(decodeGossip(bytes));
	EXPECT_FALSE(decodeQuota(bytes));
	EXPECT_FALSE(decodeCrashReport(bytes));
	EXPECT_FALSE(isLimitDatagram(encodeCrashReport({})));
	EXPECT_FALSE(isLimitDatagram(encodeGossip(GossipMessage())));
	const auto decoded = decodeLimits(bytes);
	ASSERT_TRUE(decoded);
	ASSERT_EQ(decoded->size(), 2u);
	EXPECT_EQ(decoded->at(0).key, kServer);
	EXPECT_EQ(decoded->at(0).limit, 2.5);
	EXPECT_EQ(decoded->at(0).age, 1000);
	EXPECT_FALSE(decoded->at(1).limit);
	EXPECT_EQ(bytes, readGoldenDatagram("limit-report-7"));
	EXPECT_FALSE(decodeLimits(bytes.substr(0, bytes.size() - 1)));
}

TEST(BackendLimits, questionOfAStartingGatewayIsNoReport)
{
	const std::string question = encodeLimitQuery();
	EXPECT_TRUE(isLimitDatagram(question));
	EXPECT_TRUE(isLimitQuery(question));
	EXPECT_FALSE(isLimitQuery(encodeLimits({})));
	EXPECT_FALSE(isLimitQuery(question.substr(0, question.size() - 1)));
	ASSERT_TRUE(decodeLimits(question)); // A build that does not know it takes it for a report without records.
	EXPECT_TRUE(decodeLimits(question)->empty());
}

TEST(BackendLimits, startingGatewayIsToldAllLimitsInForce)
{
	BackendLimits limits;
	const BackendKey ended("w2", 1);
	limits.onAnswer(kServer, 2.0, 0, 0, kStart);
	limits.onAnswer(ended, 2.0, 0, 0, kStart);
	limits.onAnswer(ended, std::nullopt, 10, 20, kStart + 20);
	BackendLimits starting;
	starting.merge(limits.inForce(kStart + 60 * kSecond), kStart + 60 * kSecond);
	EXPECT_EQ(starting.limitOf(kServer), 2.0);
	EXPECT_EQ(starting.size(), 1u);
}

TEST(BackendLimits, limitThatIsNamedAgainIsReportedAgain)
{
	BackendLimits limits;
	limits.onAnswer(kServer, 2.0, 0, 0, kStart);
	for (unsigned round = 0; round < BackendLimits::kReportRounds; ++round)
	{
		EXPECT_EQ(limits.takeChanges(false, kMaxLimitRecords, kStart).size(), 1u);
	}
	limits.onAnswer(kServer, 2.0, 0, 0, kStart + BackendLimits::kRefreshInterval - 1);
	EXPECT_TRUE(limits.takeChanges(false, kMaxLimitRecords, kStart).empty());
	limits.onAnswer(kServer, 2.0, 0, 0, kStart + BackendLimits::kRefreshInterval);
	EXPECT_EQ(limits.takeChanges(false, kMaxLimitRecords, kStart).size(), 1u);
}

TEST(BackendLimits, limitOfZeroLeavesAFewRequestsThatTellItsEnd)
{
	expectKeptAndUsed({8, 0.0, 40.0}, 0.0);
	BackendLimits limits;
	limits.onAnswer(kServer, 0.0, 0, 0, kStart);
	EXPECT_EQ(limits.takeTurn(kServer, kStart + 20 * kSecond), 0);
}

TEST(BackendLimits, gatewayWithoutATurnIsToldItsNextOne)
{
	BackendLimits limits;
	KnownBackend limited;
	limited.key = kServer;
	KnownBackend other;
	other.key = BackendKey("w2", 1);
	limits.setMembers(4, 1);
	limits.onAnswer(kServer, 1.0, 0, 0, kStart);
	const Micros wait = limits.takeTurn(kServer, kStart);
	EXPECT_GT(wait, 0);
	EXPECT_LE(wait, 5 * kSecond);
	EXPECT_EQ(limits.takeTurn(kServer, kStart + wait - 1), 1);
	EXPECT_EQ(limits.takeTurn(kServer, kStart + wait), 0);
	EXPECT_EQ(limits.takeTurn(kServer, kStart + wait), 4 * kSecond);
	EXPECT_EQ(limits.requestsWithin({&limited}, 8 * kSecond), 9u);
	EXPECT_EQ(limits.requestsWithin({&limited, &other}, 8 * kSecond), std::nullopt);
}

TEST(BackendLimits, turnThatBeganBeforeAChangeOfTheMembersIsNotTaken)
{
	BackendLimits limits;
	limits.setMembers(4, 1);
	limits.onAnswer(kServer, 1.0, 0, 0, kStart);
	const Micros wait = limits.takeTurn(kServer, kStart);
	// The slot that has just begun may have been used by its owner before the change.
	limits.setMembers(1, 0);
	EXPECT_EQ(limits.takeTurn(kServer, kStart + wait + 1), kSecond - 1);
}

TEST(OverloadPolicy, requestBehindTheLimitIsRefusedAtOnce)
{
	Availability available;
	available.earliestEnd = 100;
	EXPECT_EQ(decideOnOverload({0, 200, 300, false, false}, available), OverloadDecision::Wait);
	EXPECT_EQ(decideOnOverload({0, 200, 300, false, false, true}, available), OverloadDecision::RefuseBackoff);
}

} // namespace beacongate::test
