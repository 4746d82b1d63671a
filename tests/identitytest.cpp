// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of backend servers that restart with the same id: nothing known about one incarnation may keep requests
/// from a later one or send requests to it.

#include "coordination/balancer.h"
#include "coordination/directory.h"
#include "gatewayfixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace beacongate::test
{
namespace
{
constexpr std::uint64_t kFirstStart = 1000; ///< Start time of the first incarnation, in Unix milliseconds.
constexpr std::uint64_t kSecondStart = 2000;

BackendRecord recordOf(const std::string& _id, std::uint64_t _born, bool _draining = false)
{
	BackendRecord record;
	record.id = _id;
	record.born = _born;
	record.service = "model";
	record.draining = _draining;
	return record;
}

/// What a directory receives: a list, or a peer's notice.
struct Event
{
	unsigned kind = 0;
	std::uint64_t born = 0;
};

rc::Gen<std::vector<Event>> events()
{
	return rc::gen::container<std::vector<Event>>(
		rc::gen::build<Event>(rc::gen::set(&Event::kind, rc::gen::inRange(0u, 6u)),
							  rc::gen::set(&Event::born, rc::gen::inRange<std::uint64_t>(1, 5))));
}
} // namespace

TEST(Identity, restartedServerTakesWorkAfterItLeft)
{
	Directory directory;
	directory.applyList({1, {recordOf("a", kFirstStart, true)}, kSecond}, kSecond);
	EXPECT_FALSE(directory.takesWork({"a", kFirstStart}, kSecond));
	directory.applyList({2, {recordOf("a", kSecondStart)}, 2 * kSecond}, 2 * kSecond);
	EXPECT_TRUE(directory.takesWork({"a", kSecondStart}, 2 * kSecond));
	EXPECT_EQ(directory.usableOf("model", 2 * kSecond).size(), 1u);
	EXPECT_FALSE(directory.takesWork({"a", kFirstStart}, 2 * kSecond));
	EXPECT_TRUE(directory.departures().since(0).empty());
}

TEST(Identity, noticesOfAnEarlierIncarnationDoNotAffectALaterOne)
{
	Directory directory;
	directory.applyList({1, {recordOf("a", kFirstStart)}, kSecond}, kSecond);
	directory.applyList({2, {recordOf("a", kSecondStart)}, kSecond}, kSecond);
	directory.markDraining({"a", kFirstStart}, DepartureSource::Peer, kSecond);
	directory.markMisdirected({"a", kFirstStart});
	EXPECT_TRUE(directory.takesWork({"a", kSecondStart}, kSecond));
	directory.markMisdirected({"a", kSecondStart});
	EXPECT_FALSE(directory.takesWork({"a", kSecondStart}, kSecond));
}

TEST(Identity, lateWriteOfAnEarlierIncarnationIsIgnored)
{
	Directory directory;
	directory.applyList({1, {recordOf("a", kSecondStart)}, kSecond}, kSecond);
	directory.applyList({2, {recordOf("a", kFirstStart, true)}, kSecond}, kSecond);
	EXPECT_TRUE(directory.takesWork({"a", kSecondStart}, kSecond));
	directory.applyList({3, {recordOf("a", kSecondStart, true)}, kSecond}, kSecond);
	directory.applyList({4, {recordOf("a", kFirstStart)}, kSecond}, kSecond);
	EXPECT_TRUE(directory.usableOf("model", kSecond).empty());
}

TEST(Identity, loadAndFailuresEndWithTheIncarnation)
{
	Balancer balancer("z1");
	KnownBackend before;
	before.record = recordOf("a", kFirstStart);
	before.key = BackendKey(before.record.identity());
	KnownBackend after = before;
	after.record.born = kSecondStart;
	after.key = BackendKey(after.record.identity());
	KnownBackend other;
	other.record = recordOf("b", kFirstStart);
	other.key = BackendKey(other.record.identity());
	const PlacementRequest call;
	balancer.onSent(before.key, call);
	for (int failure = 0; failure < 5; ++failure)
	{
		balancer.onOutcome(before.key, false, kSecond);
	}
	EXPECT_EQ(balancer.totalInFlight(after.key), 0u);
	balancer.onSent(other.key, call);
	EXPECT_EQ(balancer.choose({&before, &other}, call, {}, kSecond).backend, &other);
	EXPECT_EQ(balancer.choose({&after, &other}, call, {}, kSecond).backend, &after);
}

/// Lists arrive in the order of their revisions, since older ones are ignored. The incarnations they contain, and
/// the notices of peers, arrive in any order, repeated and late.
RC_GTEST_PROP(Identity, onlyTheNewestIncarnationDecides, ())
{
	Directory directory;
	std::uint64_t revision = 0;
	std::uint64_t newest = 0;
	bool drained = false;
	bool present = false;
	const Micros now = kSecond;
	for (const Event& event : *events())
	{
		const BackendIdentity named{"a", event.born};
		const bool isList = event.kind < 4;
		const bool drains = event.kind == 1 || event.kind >= 4;
		if (isList && event.kind != 3)
		{
			directory.applyList({++revision, {recordOf("a", event.born, drains)}, now}, now);
			drained = event.born > newest ? false : drained;
			present = event.born >= newest || present;
			newest = std::max(newest, event.born);
		}
		else if (isList)
		{
			// The entry is unreadable now.
			directory.applyList({++revision, {}, now, {"a"}}, now);
			present = false;
		}
		else
		{
			directory.markDraining(named, DepartureSource::Peer, now);
		}
		drained = drained || (drains && event.born == newest);
		const bool expected = present && !drained && newest != 0;
		RC_ASSERT(directory.takesWork({"a", newest}, now) == expected);
		RC_ASSERT(directory.usableOf("model", now).size() == (expected ? 1u : 0u));
		for (std::uint64_t earlier = 1; earlier < newest; ++earlier)
		{
			RC_ASSERT(!directory.takesWork({"a", earlier}, now));
		}
	}
}

TEST_F(GatewayTest, restartedServerGetsRequestsFromAllGateways)
{
	startGateway(settings(1));
	startGateway(settings(2));
	store->remove("servers/" + workerId(2));
	registerWorker(1, "draining");
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	registerWorker(1, "ready", standin::kFirstStartTimeMs + 5000);
	for (const unsigned gateway : {1u, 2u})
	{
		EXPECT_TRUE(
			await([&] { return statusOf(call("GET", "/safe/", "again", "key", gateway)) == 200; }, 2 * kSecond));
	}
}

} // namespace beacongate::test
