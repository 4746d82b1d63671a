// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Loads that gateways tell each other, and the choice of a backend server by them.

#include "coordination/balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate::test
{
namespace
{
KnownBackend backendOf(const std::string& _id, unsigned _slots)
{
	KnownBackend backend;
	backend.record.id = _id;
	backend.record.slots = _slots;
	return backend;
}
} // namespace

RC_GTEST_PROP(Balancer, countsEachPeersLatestWordOnceWhileItHolds, (const std::vector<std::uint8_t>& steps))
{
	constexpr unsigned kPeers = 4;
	constexpr unsigned kBackends = 3;
	struct Word
	{
		Micros heard = kLongAgo;
		std::vector<BackendLoad> loads;
	};
	Balancer balancer("a");
	std::map<std::string, Word> words;
	Micros now = kSecond;
	for (const std::uint8_t step : steps)
	{
		now += 170 * kMillisecond;
		const std::string peer = std::to_string(step % kPeers);
		std::vector<BackendLoad> loads;
		for (unsigned backend = 0; backend < step / kPeers % (kBackends + 1); ++backend)
		{
			loads.push_back({"b" + std::to_string(backend), step % 3u, std::uint64_t{step % 3u} * 10U});
		}
		words[peer] = {now, loads};
		balancer.setPeerLoads(peer, loads, now);
		now += step % 11 == 0 ? 900 * kMillisecond : 0;
		balancer.expirePeerLoads(now);
		for (unsigned backend = 0; backend < kBackends; ++backend)
		{
			const std::string id = "b" + std::to_string(backend);
			unsigned expected = 0;
			for (const auto& [name, word] : words)
			{
				for (const BackendLoad& load : word.loads)
				{
					expected += load.id == id && now - word.heard <= kSecond ? load.inFlight : 0;
				}
			}
			RC_ASSERT(balancer.totalInFlight(id) == expected);
		}
	}
}

TEST(Balancer, choosesByWhatAllGatewaysSent)
{
	Balancer balancer("a");
	const KnownBackend first = backendOf("b0", 2);
	const KnownBackend second = backendOf("b1", 2);
	const PlacementRequest request{1000, {}};
	balancer.setPeerLoads("peer", {{"b0", 2, 50'000}}, kSecond);
	const Placement free = balancer.choose({&first, &second}, request, {}, kSecond);
	ASSERT_TRUE(free.backend);
	EXPECT_EQ(free.backend->record.id, "b1");
	EXPECT_FALSE(free.full);
	balancer.onSent("b1", request);
	balancer.onSent("b1", request);
	EXPECT_TRUE(balancer.choose({&first, &second}, request, {}, kSecond).full);
	balancer.expirePeerLoads(kSecond + 2 * kSecond);
	const Placement later = balancer.choose({&first, &second}, request, {}, 3 * kSecond);
	EXPECT_EQ(later.backend->record.id, "b0") << "the peer was not heard any more";
}

} // namespace beacongate::test
