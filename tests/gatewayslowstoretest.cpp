// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The incident "requests reached backend servers that had left, on real processes".
///
/// What users saw: on real processes, requests reached backend servers seconds after these had left, though nothing
/// had failed.
///
/// Order of events: a gateway's way to the store becomes slow, so that answers take a second; the read of the list
/// is dropped after 0.4 s, as is that of the whole store after 0.9 s, and each begins anew; meanwhile a backend
/// server's record goes without a word; the gateway finds it missing in the first list that comes through, and goes
/// on sending to it for two more seconds.
///
/// Cause: one read that had brought nothing in time was taken for an outage of the store, in which lists may be of
/// any age and records lapse though their servers live. A slow store was told from one out of reach by a fixed span
/// that said nothing about the bound on departures.
///
/// Evidence: with eight gateways as processes and servers that leave every 0.7 s, 195 requests came late in three
/// of four runs; the log had standing=lapsed for all 195, with lists 4 ms to 2.2 s old, and cause=silent for all 72
/// reads that failed, though the store had answered each of them by the time that the next one was asked.

#include "gatewayfixture.h"

#include "protocol/gossipcodec.h"
#include "soak/faultproxy.h"

#include <algorithm>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr Micros kDrainBound = 2 * kSecond; ///< From a departure's record until no request may arrive.
/// Each way: an answer takes a second, half of the bound.
constexpr Micros kDelay = 500 * kMillisecond;

void sleepFor(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// One gateway whose way to the store can be made slow.
class GatewaySlowStoreTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		link = std::make_unique<soak::FaultProxy>(Address{host(202), kStorePort}, Address{host(200), kStorePort});
		GatewaySettings chosen = settings(1);
		chosen.store = {host(202), kStorePort};
		startGateway(chosen);
	}

	void TearDown() override
	{
		gateways.clear();
		link.reset();
	}

	/// Calls some times, without a key since keys may be unconfirmed while the store is slow.
	/// @returns how many of the calls the first worker ran.
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

TEST_F(GatewaySlowStoreTest, aServerWhoseRecordWentGetsNothingMoreThoughTheStoreAnswersSlowly)
{
	link->setFault(soak::LinkFault::Delays, kDelay);
	sleepFor(3 * kSecond);
	store->remove("servers/" + workerId(1));
	sleepFor(kDrainBound);
	EXPECT_EQ(runsAtFirstWorker("a"), 0u);
	// Nor once the way is quick again, and the first list comes that lacks it.
	link->setFault(soak::LinkFault::None);
	sleepFor(500 * kMillisecond);
	EXPECT_EQ(runsAtFirstWorker("b"), 0u);
}

TEST_F(GatewaySlowStoreTest, aServerThatSaysItLeavesGetsNothingMoreThoughTheStoreTurnsSlowJustThen)
{
	link->setFault(soak::LinkFault::Delays, kDelay);
	registerWorker(1, "draining");
	sleepFor(kDrainBound);
	EXPECT_EQ(runsAtFirstWorker("c"), 0u);
}

/// Where the store says nothing at all, calls wait only until that is known.
TEST_F(GatewaySlowStoreTest, anOutageHoldsCallsUpForAShortWhileOnly)
{
	constexpr Micros kLongestHold = 800 * kMillisecond;
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
	EXPECT_LT(longest, kLongestHold);
}

/// Sums are kept for a while; what they say of the sender's content has to be of one moment. Else a gateway takes a
/// list for newer than it is: its age was understated by up to the span between two reads of the sender.
TEST_F(GatewaySlowStoreTest, aCollectorNeverConfirmsContentForAMomentAtWhichItWasReplaced)
{
	constexpr unsigned kMembers = limits::kGossipPeers + 4;
	constexpr unsigned kPeerHost = 60;
	constexpr Micros kSpan = 2 * kSecond;
	for (unsigned number = 0; number < kMembers; ++number)
	{
		// They rank behind the gateway, whose host comes first.
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
	std::uint64_t replaced = 0;
	std::uint64_t newest = 0;
	Micros changed = kNever;
	unsigned heardOfOld = 0;
	const Micros begin = monotonicNow();
	while (monotonicNow() < begin + kSpan)
	{
		if (changed == kNever && monotonicNow() > begin + kSecond && newest != 0)
		{
			replaced = newest;
			store->remove("servers/" + workerId(1));
			changed = monotonicNow();
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
			newest = message->contentFingerprint;
			if (changed != kNever && newest == replaced)
			{
				++heardOfOld;
				EXPECT_LE(message->sent - message->contentAge, changed);
			}
		}
	}
	close(peer);
	EXPECT_GT(heardOfOld, 0u);
}

} // namespace beacongate::test
