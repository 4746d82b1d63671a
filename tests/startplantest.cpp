// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How long a large fleet takes to get the store's content after all of its gateways were started at once, in
/// virtual time.

#include "coordination/startplan.h"
#include "coordination/relayslots.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kStep = 10 * kMillisecond;
constexpr double kStoreLink = 125e6;          ///< Bytes per second: 1,000 Mbit/s.
constexpr double kRelayLink = 25e6;           ///< 200 Mbit/s.
constexpr double kItemBytes = 450.0;          ///< Bytes of an item as the store sends it.
constexpr double kCompressedItemBytes = 40.0; ///< Bytes of an item as a relay sends it.

/// A transfer over a link that all open transfers share.
struct Transfer
{
	std::size_t gateway = 0;
	std::string from; ///< Host of the relay; empty for the store.
	double left = 0.0;
};

/// Gateways of six data centres that start within 0.3 s of each other.
class StartingFleet
{
public:
	StartingFleet(std::size_t _gateways, std::size_t _servers, bool _relaysNamed)
		: m_items(static_cast<double>(_gateways + _servers)), m_relaysNamed(_relaysNamed)
	{
		std::minstd_rand random(7);
		for (std::size_t number = 0; number < _gateways; ++number)
		{
			Gateway gateway;
			gateway.host = hostOf(number);
			gateway.due = static_cast<Micros>(random() % 300) * kMillisecond;
			gateway.plan = std::make_unique<StartPlan>(gateway.host, static_cast<std::uint32_t>(random()));
			m_gateways.push_back(std::move(gateway));
		}
	}

	/// Ends the named relays for good.
	void removeRelays()
	{
		for (std::size_t number = 0; number < kDataCentres * RelaySlots::kCount; ++number)
		{
			m_gateways[number].due = kNever;
		}
	}

	/// @returns the time until all gateways that run have the content, or the given span.
	Micros run(Micros _span)
	{
		for (m_now = 0; m_now < _span; m_now += kStep)
		{
			transfer();
			bool complete = true;
			for (std::size_t number = 0; number < m_gateways.size(); ++number)
			{
				Gateway& gateway = m_gateways[number];
				if (!gateway.served && gateway.due != kNever)
				{
					complete = false;
					step(number);
				}
			}
			if (complete)
			{
				return m_now;
			}
		}
		return _span;
	}

	/// @returns the bytes that the store sent.
	double storeBytes() const
	{
		return m_storeBytes;
	}

private:
	static constexpr std::size_t kDataCentres = 6;

	struct Gateway
	{
		std::string host;
		std::unique_ptr<StartPlan> plan;
		Micros due = 0;
		bool busy = false;
		bool served = false;
	};

	static std::string hostOf(std::size_t _number)
	{
		return std::to_string(_number);
	}

	std::vector<std::string> relaysOf(std::size_t _number) const
	{
		std::vector<std::string> hosts;
		for (std::size_t slot = 0; m_relaysNamed && slot < RelaySlots::kCount; ++slot)
		{
			hosts.push_back(hostOf(_number % kDataCentres + slot * kDataCentres));
		}
		return hosts;
	}

	void step(std::size_t _number)
	{
		Gateway& gateway = m_gateways[_number];
		if (gateway.busy || m_now < gateway.due)
		{
			return;
		}
		const StartStep step = gateway.plan->next(m_now);
		gateway.due = m_now + kStep;
		switch (step.action)
		{
		case StartAction::ReadRelays:
			gateway.plan->onRelaysRead(relaysOf(_number), m_now);
			break;
		case StartAction::AskRelay:
			if (m_gateways[std::stoul(step.relay)].served)
			{
				gateway.busy = true;
				m_transfers.push_back({_number, step.relay, m_items * kCompressedItemBytes});
			}
			break;
		case StartAction::ReadStore:
			gateway.busy = true;
			m_transfers.push_back({_number, "", m_items * kItemBytes});
			break;
		case StartAction::Wait:
			gateway.due = m_now + step.pause;
			break;
		}
	}

	void transfer()
	{
		std::map<std::string, double> open;
		for (const Transfer& transfer : m_transfers)
		{
			++open[transfer.from];
		}
		for (Transfer& transfer : m_transfers)
		{
			const double link = transfer.from.empty() ? kStoreLink : kRelayLink;
			const double bytes = std::min(transfer.left, link / open[transfer.from] * secondsOf(kStep));
			transfer.left -= bytes;
			m_storeBytes += transfer.from.empty() ? bytes : 0.0;
			m_gateways[transfer.gateway].served = transfer.left <= 0.0;
		}
		std::erase_if(m_transfers, [](const Transfer& _transfer) { return _transfer.left <= 0.0; });
	}

	double m_items;
	bool m_relaysNamed;
	std::vector<Gateway> m_gateways;
	std::vector<Transfer> m_transfers;
	double m_storeBytes = 0.0;
	Micros m_now = 0;
};

constexpr Micros kBound = 5 * kSecond; ///< A fleet has to serve again within this time after all were killed.
} // namespace

/// Guards against a start in which each gateway reads the whole content: 986 gateways and 2,996 servers then need
/// 14 s, and twice as many of both 57 s.
TEST(StartPlan, aLargeFleetServesSoonAfterAllOfItsGatewaysWereKilled)
{
	for (const std::size_t factor : {1U, 2U})
	{
		const std::size_t gateways = 986 * factor;
		const std::size_t servers = 2'996 * factor;
		StartingFleet fleet(gateways, servers, true);
		const Micros span = fleet.run(60 * kSecond);
		EXPECT_LE(span, kBound) << gateways << " gateways";
		// 24 relays read the content, whatever the number of gateways.
		EXPECT_LE(fleet.storeBytes(), 25.0 * static_cast<double>(gateways + servers) * kItemBytes);
		StartingFleet without(gateways, servers, false);
		std::printf("%zu gateways: %.1f s with relays, %.1f s without\n", gateways, secondsOf(span),
					secondsOf(without.run(90 * kSecond)));
	}
}

TEST(StartPlan, gatewaysReadTheStoreIfAllNamedRelaysAreGone)
{
	StartingFleet fleet(300, 300, true);
	fleet.removeRelays();
	EXPECT_LE(fleet.run(30 * kSecond), StartPlan::kPatience + StartPlan::kPatienceSpread + 2 * kSecond);
}

TEST(StartPlan, aSmallFleetReadsTheStoreAtOnce)
{
	StartPlan plan("a", 1);
	EXPECT_EQ(plan.next(0).action, StartAction::ReadRelays);
	plan.onRelaysRead({}, 10);
	EXPECT_EQ(plan.next(10).action, StartAction::ReadStore);
	EXPECT_FALSE(plan.waitsForRelays(10));
}

TEST(StartPlan, smallVmsOfALargeFleetWaitForRelaysAtTheFirstStart)
{
	constexpr unsigned kLargeVm = 50;
	constexpr unsigned kSmallVm = 12;
	StartPlan large("a", 999, true, kLargeVm);
	large.next(0);
	EXPECT_TRUE(large.mayReadLargeContent(0));
	StartPlan small("b", 0, true, kSmallVm);
	EXPECT_EQ(small.next(0).action, StartAction::ReadRelays);
	small.onRelaysRead({}, 0);
	EXPECT_EQ(small.next(0).action, StartAction::ReadStore) << "the content may be small";
	EXPECT_FALSE(small.mayReadLargeContent(0));
	EXPECT_EQ(small.next(0).action, StartAction::Wait);
	const Micros later = StartPlan::kRelaysLifetime + 1;
	EXPECT_EQ(small.next(later).action, StartAction::ReadRelays);
	small.onRelaysRead({"a"}, later);
	EXPECT_EQ(small.next(later).relay, "a");
	StartPlan alone("c", 0, true, kSmallVm);
	alone.next(0);
	alone.onRelaysRead({}, 0);
	EXPECT_FALSE(alone.mayReadLargeContent(0));
	EXPECT_TRUE(alone.mayReadLargeContent(StartPlan::kFirstReadDelay)) << "no relay was ever named";
	StartPlan restarted("d", 0, false, kSmallVm);
	restarted.next(0);
	EXPECT_TRUE(restarted.mayReadLargeContent(0));
}

TEST(StartPlan, aRelayReadsTheStoreAndTheOthersAskEachRelayInTurn)
{
	StartPlan relay("a", 0);
	EXPECT_EQ(relay.next(0).action, StartAction::ReadRelays);
	relay.onRelaysRead({"a", "b"}, 0);
	EXPECT_EQ(relay.next(0).action, StartAction::ReadStore);
	StartPlan other("c", 1);
	EXPECT_EQ(other.next(0).action, StartAction::ReadRelays);
	other.onRelaysRead({"a", "b"}, 0);
	EXPECT_TRUE(other.waitsForRelays(0));
	EXPECT_EQ(other.next(0).relay, "b");
	EXPECT_EQ(other.next(0).relay, "a");
	EXPECT_EQ(other.next(0).action, StartAction::Wait);
	EXPECT_EQ(other.next(0).action, StartAction::AskRelay);
	const Micros later = StartPlan::kRelaysLifetime + 1;
	EXPECT_EQ(other.next(later).action, StartAction::ReadRelays) << "others may have replaced the relays";
	other.onRelaysRead({"d"}, later);
	EXPECT_EQ(other.next(later).relay, "d");
	const Micros last = StartPlan::kPatience + StartPlan::kPatienceSpread + 1;
	EXPECT_EQ(other.next(last).action, StartAction::ReadStore);
	EXPECT_FALSE(other.waitsForRelays(last));
}

TEST(RelaySlots, theFirstMembersOfALargeFleetHaveOneEach)
{
	constexpr std::uint64_t kBytes = 1'800'000;
	const std::vector<std::string> ranked{"a", "b", "c", "d", "e"};
	EXPECT_EQ(RelaySlots::slotOf(ranked, "a", 986, kBytes), 0u);
	EXPECT_EQ(RelaySlots::slotOf(ranked, "d", 986, kBytes), 3u);
	EXPECT_EQ(RelaySlots::slotOf(ranked, "e", 986, kBytes), std::nullopt);
	EXPECT_EQ(RelaySlots::slotOf(ranked, "x", 986, kBytes), std::nullopt);
	EXPECT_EQ(RelaySlots::slotOf(ranked, "a", 8, kBytes), std::nullopt);
}

} // namespace beacongate::test
