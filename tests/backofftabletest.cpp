// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the backoffs that backend servers ask for and the handling of requests meanwhile, without a network.

#include "coordination/balancer.h"
#include "coordination/overloadpolicy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kAnswerTarget = 400 * kMillisecond;
constexpr Micros kRetryDelay = 100 * kMillisecond;

/// Backend servers of a service and their backoff table.
struct Servers
{
	explicit Servers(unsigned _count)
	{
		for (unsigned number = 0; number < _count; ++number)
		{
			KnownBackend backend;
			backend.record.id = std::to_string(number);
			backend.record.slots = 32;
			backend.key = BackendKey(backend.record.identity());
			known.push_back(backend);
			all.push_back(&known.back());
		}
	}

	Availability available(Micros _now, const std::vector<std::string>& _excluded = {}) const
	{
		return table.available(all, _excluded, _now);
	}

	BackendKey key(unsigned _number) const
	{
		return known[_number].key;
	}

	BackoffTable table;
	std::deque<KnownBackend> known;
	std::vector<const KnownBackend*> all;
};

OverloadContext contextAt(Micros _received, Micros _now)
{
	return {_now, _received + kAnswerTarget, _received + 5 * kSecond, false, false};
}
} // namespace

RC_GTEST_PROP(BackoffTable, noServerIsAvailableBeforeTheLongestRequestedBackoffEnds,
			  (const std::vector<std::uint16_t>& spans))
{
	Servers servers(1);
	Micros now = kSecond;
	Micros end = 0;
	for (const std::uint16_t span : spans)
	{
		servers.table.onBackoffRequested(servers.key(0), span * kMillisecond, now);
		end = std::max(end, now + span * kMillisecond);
		now += span % 700 * kMillisecond;
		const Availability available = servers.available(now);
		RC_ASSERT(available.open.empty() == (now < end));
		RC_ASSERT(servers.table.left(servers.key(0), now) == std::max<Micros>(0, end - now));
		RC_ASSERT((available.earliestEnd == kNever) == (now >= end));
	}
}

TEST(BackoffTable, oneAnswerCausesABackoffOfBoundedLength)
{
	Servers servers(1);
	servers.table.onBackoffRequested(servers.key(0), 60'000 * kSecond, kSecond);
	EXPECT_EQ(servers.table.left(servers.key(0), kSecond), BackoffTable::kMaxBackoff);
}

TEST(BackoffTable, aBackoffOfZeroHasNoEffect)
{
	Servers servers(1);
	servers.table.onBackoffRequested(servers.key(0), 0, kSecond);
	EXPECT_EQ(servers.available(kSecond).open.size(), 1u);
	EXPECT_FALSE(servers.table.onPlaced(servers.key(0), kSecond));
}

TEST(BackoffTable, aRestartedServerHasNoBackoff)
{
	Servers servers(1);
	servers.table.onBackoffRequested(servers.key(0), 60 * kSecond, kSecond);
	servers.known[0].record.born = 2;
	servers.known[0].key = BackendKey(servers.known[0].record.identity());
	EXPECT_EQ(servers.available(kSecond).open.size(), 1u);
	servers.table.retain({{"0", servers.known[0]}});
	EXPECT_EQ(servers.table.left(BackendKey("0"), kSecond), 0);
}

TEST(BackoffTable, noFallbackOfTheBalancerUsesAServerInABackoff)
{
	// The balancer uses ejected servers again if more than half are ejected. It never gets servers in a backoff
	// as candidates.
	Servers servers(3);
	Balancer balancer("a");
	for (unsigned number = 0; number < 3; ++number)
	{
		servers.table.onBackoffRequested(servers.key(number), 3 * kSecond, kSecond);
	}
	const Availability available = servers.available(2 * kSecond);
	EXPECT_EQ(balancer.choose(available.open, {}, {}, 2 * kSecond).backend, nullptr);
	EXPECT_TRUE(available.waitsForBackoff());
	EXPECT_EQ(available.earliestEnd, 4 * kSecond);
}

TEST(BackoffTable, backoffsOfExcludedServersAreIgnored)
{
	Servers servers(2);
	servers.table.onBackoffRequested(servers.key(0), kSecond, 0);
	servers.table.onBackoffRequested(servers.key(1), 5 * kSecond, 0);
	EXPECT_EQ(servers.available(0, {"0"}).earliestEnd, 5 * kSecond);
}

TEST(BackoffTable, eachAnswerAfterABackoffRaisesTheInFlightLimit)
{
	// Thirty requests wait for a server that was overloaded. Without a limit after the backoff, all are sent at
	// once and overload it again: with 8 slots, 22 of the 30 are rejected.
	constexpr unsigned kWaiting = 30;
	constexpr unsigned kSlots = 8;
	Servers servers(1);
	const BackendKey key = servers.key(0);
	servers.table.onBackoffRequested(key, kSecond, 0);
	Micros now = kSecond;
	unsigned waiting = kWaiting;
	unsigned mostPlaced = 0;
	std::vector<unsigned> rounds;
	while (waiting > 0)
	{
		unsigned placed = 0;
		while (placed < waiting && placed < kSlots && !servers.available(now).open.empty())
		{
			servers.table.onPlaced(key, now);
			++placed;
		}
		ASSERT_GT(placed, 0u);
		EXPECT_TRUE(placed == kSlots || placed == waiting || servers.available(now).limited);
		for (unsigned number = 0; number < placed; ++number)
		{
			servers.table.onEnded(key, true);
		}
		rounds.push_back(placed);
		mostPlaced = std::max(mostPlaced, placed);
		waiting -= placed;
		now += 20 * kMillisecond;
	}
	EXPECT_EQ(rounds.front(), BackoffTable::kInitialInFlight);
	EXPECT_LE(rounds[1], 2 * BackoffTable::kInitialInFlight);
	EXPECT_EQ(mostPlaced, kSlots);
}

TEST(BackoffTable, requestsWithoutAnAnswerDoNotExcludeAServerForGood)
{
	Servers servers(1);
	servers.table.onBackoffRequested(servers.key(0), kSecond, 0);
	EXPECT_TRUE(servers.table.onPlaced(servers.key(0), kSecond));
	EXPECT_TRUE(servers.available(kSecond).open.empty());
	EXPECT_EQ(servers.available(kSecond + BackoffTable::kRampUpSpan + 1).open.size(), 1u);
	servers.table.onEnded(servers.key(0), false);
	EXPECT_EQ(servers.available(kSecond).open.size(), 1u);
}

TEST(OverloadPolicy, aRequestWaitsForABackoffOnlyIfItEndsInTime)
{
	Availability available;
	available.earliestEnd = kSecond + kAnswerTarget;
	EXPECT_EQ(decideOnOverload(contextAt(kSecond, kSecond), available), OverloadDecision::Wait);
	available.earliestEnd += 1;
	EXPECT_EQ(decideOnOverload(contextAt(kSecond, kSecond), available), OverloadDecision::RefuseBackoff);
}

TEST(OverloadPolicy, theDeadlineAppliesIfItIsBeforeTheAnswerTarget)
{
	Availability available;
	available.earliestEnd = kSecond + 200 * kMillisecond;
	OverloadContext context = contextAt(kSecond, kSecond);
	context.waitUntil = kSecond + 100 * kMillisecond;
	EXPECT_EQ(decideOnOverload(context, available), OverloadDecision::RefuseBackoff);
}

TEST(OverloadPolicy, aRequestWaitsForAServerThatIsFullOrLimited)
{
	Servers servers(2);
	servers.table.onBackoffRequested(servers.key(0), 60 * kSecond, 0);
	const Availability full = servers.available(kSecond);
	EXPECT_EQ(decideOnOverload(contextAt(kSecond, kSecond), full), OverloadDecision::Wait);
	Availability limited;
	limited.limited = true;
	limited.earliestEnd = 60 * kSecond;
	EXPECT_EQ(decideOnOverload(contextAt(kSecond, kSecond), limited), OverloadDecision::Wait);
	EXPECT_EQ(decideOnOverload(contextAt(kSecond, kSecond + kAnswerTarget + 1), limited),
			  OverloadDecision::RefuseLate);
}

TEST(OverloadPolicy, aRequestThatMayHaveRunWaitsUntilItsDeadline)
{
	Availability available;
	available.earliestEnd = 4 * kSecond;
	OverloadContext context = contextAt(kSecond, kSecond);
	context.sent = true;
	EXPECT_EQ(decideOnOverload(context, available), OverloadDecision::RefuseBackoff);
	context.mayHaveRun = true;
	EXPECT_EQ(decideOnOverload(context, available), OverloadDecision::Wait);
}

RC_GTEST_PROP(OverloadPolicy, theRetryDelayOfARefusalCoversTheEarliestBackoff,
			  (std::uint16_t span, std::uint8_t spread))
{
	Availability all;
	all.earliestEnd = kSecond + span * kMillisecond;
	const Micros retryAfter = retryAfterRefusal(all, spread / 256.0, kRetryDelay, kSecond);
	RC_ASSERT(kSecond + retryAfter >= all.earliestEnd);
	RC_ASSERT(retryAfter <= std::max(kRetryDelay, span * kMillisecond * 5 / 4));
	all.limited = true;
	RC_ASSERT(retryAfterRefusal(all, 0.5, kRetryDelay, kSecond) == kRetryDelay);
}

} // namespace beacongate::test
