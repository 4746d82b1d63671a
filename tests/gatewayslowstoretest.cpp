// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests to backend servers that left while the store answers slowly.
///
/// If answers of the store take a second and reads are dropped earlier (the list after 0.4 s, the whole store after
/// 0.9 s), a slow store looks unreachable. During an outage lists may be of any age and records expire although
/// their servers live, so a server whose record was removed got requests for two more seconds after the first list
/// without it. With eight gateways and servers that left every 0.7 s, 195 requests were late in three of four runs,
/// all with standing=lapsed and lists 4 ms to 2.2 s old; all 72 failed reads were logged with cause=silent, though
/// the store answered each of them by the time of the next one.

#include "gatewayfixture.h"

#include "protocol/gossipcodec.h"
#include "soak/faultproxy.h"

#include <algorithm>
#include <thread>

namespace beacongate::test
{
namespace
{
/// Time from the change of a leaving server's record until no request may arrive.
constexpr Micros kDrainBound = 2 * kSecond;
/// Delay of each direction: an answer takes a second, half of the bound.
constexpr Micros kDelay = 500 * kMillisecond;

void sleepFor(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// One gateway whose link to the store can be delayed.
class GatewaySlowStoreTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		link = std::make_unique<soak::FaultProxy>(Address{host(202), kStorePort}, Address{host(200), kStorePort});
		GatewaySettings gatewaySettings = settings(1);
		gatewaySettings.store = {host(202), kStorePort};
		startGateway(gatewaySettings);
	}

	void TearDown() override
	{
		gateways.clear();
		link.reset();
	}

	/// Sends requests without a key, since keys may be unconfirmed while the store is slow.
	/// @returns the number of these requests that the first worker ran.
	std::size_t runsAtFirstWorker(const std::string& _name)
	{
		constexpr int kCalls = 12;
		const std::size_t before = workers[0]->runs().size();
		for (int number = 0; number < kCalls; ++number)
		{
			EXPECT_EQ(statusOf(call("GET", "/open/", _name + std::to_string(number), "")), 200u);
		}
		return workers[0]->runs().size() - before;
	}

	std::unique_ptr<soak::FaultProxy> link;
};

TEST_F(GatewaySlowStoreTest, removedServerGetsNoRequestsWhileTheStoreIsSlow)
{
	link->setFault(soak::LinkFault::Delays, kDelay);
	sleepFor(3 * kSecond);
	store->remove("servers/" + workerId(1));
	sleepFor(kDrainBound);
	EXPECT_EQ(runsAtFirstWorker("a"), 0u);
	// Nor after the link is fast again and the first list without the server arrives.
	link->setFault(soak::LinkFault::None);
	sleepFor(500 * kMillisecond);
	EXPECT_EQ(runsAtFirstWorker("b"), 0u);
}

TEST_F(GatewaySlowStoreTest, leavingServerGetsNoRequestsWhenTheStoreBecomesSlow)
{
	link->setFault(soak::LinkFault::Delays, kDelay);
	registerWorker(1, "draining");
	sleepFor(kDrainBound);
	EXPECT_EQ(runsAtFirstWorker("c"), 0u);
}

/// If the store does not respond, requests wait only until it counts as unreachable.
TEST_F(GatewaySlowStoreTest, storeOutageDelaysRequestsOnlyBriefly)
{
	constexpr Micros kMaxDelay = 800 * kMillisecond;
	constexpr Micros kSpan = 6 * kSecond;
	link->setFault(soak::LinkFault::Silent);
	Micros longest = 0;
	const Micros end = monotonicNow() + kSpan;
	for (int number = 0; monotonicNow() < end; ++number)
	{
		const Micros began = monotonicNow();
		EXPECT_EQ(statusOf(call("GET", "/open/", "o" + std::to_string(number), "")), 200u);
		longest = std::max(longest, monotonicNow() - began);
		sleepFor(10 * kMillisecond);
	}
	EXPECT_LT(longest, kMaxDelay);
}

/// Cached sums must describe the sender's content as of one moment. Otherwise a gateway takes a list for newer
/// than it is: its age was understated by up to the time between two reads of the sender.
TEST_F(GatewaySlowStoreTest, collectorNeverConfirmsReplacedContent)
{
	constexpr unsigned kMemberCount = limits::kGossipPeers + 4;
	constexpr unsigned kPeerHost = 60;
	constexpr Micros kSpan = 2 * kSecond;
	for (unsigned number = 0; number < kMemberCount; ++number)
	{
		// These members rank behind the gateway, whose host sorts first.
		store->put(memberKey("m" + std::to_string(number)), encodeMember({host(kPeerHost + number), "z1", 0}));
	}
	const int peer = socket(AF_INET, SOCK_DGRAM, 0);
	sockaddr_in own{};
	own.sin_family = AF_INET;
	own.sin_port = htons(kGossipPort);
	inet_pton(AF_INET, host(kPeerHost).c_str(), &own.sin_addr);
	ASSERT_EQ(bind(peer, reinterpret_cast<const sockaddr*>(&own), sizeof own), 0);
	sockaddr_in gateway = own;
	inet_pton(AF_INET, host(1).c_str(), &gateway.sin_addr);

	GossipMessage report;
	report.run = {"m0", 1};
	report.host = host(kPeerHost);
	report.dataCentre = "z1";
	report.kind = GossipKind::Report;
	report.wantsSums = true;
	std::uint64_t replacedFingerprint = 0;
	std::uint64_t newestFingerprint = 0;
	Micros changedAt = kNever;
	unsigned replacedCount = 0;
	const Micros begin = monotonicNow();
	while (monotonicNow() < begin + kSpan)
	{
		if (changedAt == kNever && monotonicNow() > begin + kSecond && newestFingerprint != 0)
		{
			replacedFingerprint = newestFingerprint;
			store->remove("servers/" + workerId(1));
			changedAt = monotonicNow();
		}
		report.sent = monotonicNow();
		const std::string bytes = encodeGossip(report);
		::sendto(peer, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&gateway), sizeof gateway);
		pollfd ready{peer, POLLIN, 0};
		while (poll(&ready, 1, 2) == 1)
		{
			std::array<char, limits::kGossipBytes> buffer{};
			const ssize_t count = recv(peer, buffer.data(), buffer.size(), 0);
			const auto message = decodeGossip(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
			if (!message || message->kind != GossipKind::FleetSums)
			{
				continue;
			}
			report.echo = message->sent;
			newestFingerprint = message->contentFingerprint;
			if (changedAt != kNever && newestFingerprint == replacedFingerprint)
			{
				++replacedCount;
				EXPECT_LE(message->sent - message->contentAge, changedAt);
			}
		}
	}
	close(peer);
	EXPECT_GT(replacedCount, 0u);
}

} // namespace beacongate::test
