// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests which gateways are asked for tunnels, when, and the messages by which they are asked.

#include "coordination/backendreachability.h"
#include "coordination/tunnelpeers.h"
#include "protocol/tunnelcodec.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace beacongate::test
{
namespace
{
const BackendKey kFirst("a");
const BackendKey kSecondServer("b");

std::set<MemberRecord> members(unsigned _dataCentres, unsigned _each)
{
	std::set<MemberRecord> records;
	for (unsigned dataCentre = 0; dataCentre < _dataCentres; ++dataCentre)
	{
		for (unsigned number = 0; number < _each; ++number)
		{
			const std::string name = "z" + std::to_string(dataCentre);
			records.insert({name + "-" + std::to_string(number), name, 25});
		}
	}
	return records;
}

std::size_t countIn(const std::vector<std::string>& _hosts, const std::string& _dataCentre)
{
	return static_cast<std::size_t>(std::count_if(_hosts.begin(), _hosts.end(),
												  [&](const std::string& _host)
												  { return _host.starts_with(_dataCentre + "-"); }));
}
} // namespace

TEST(BackendReachability, oneServerThatIsDownDoesNotIsolate)
{
	BackendReachability reachability;
	reachability.onFailed(kFirst, kSecond);
	reachability.onFailed(kFirst, 2 * kSecond);
	EXPECT_FALSE(reachability.isIsolated());
}

TEST(BackendReachability, failuresOfSeveralServersIsolateUntilAConnection)
{
	BackendReachability reachability;
	reachability.onFailed(kFirst, kSecond);
	reachability.onFailed(kSecondServer, kSecond);
	EXPECT_TRUE(reachability.isIsolated());
	reachability.onConnected();
	EXPECT_FALSE(reachability.isIsolated());
}

TEST(BackendReachability, failuresLongApartDoNotAddUp)
{
	BackendReachability reachability;
	reachability.onFailed(kFirst, kSecond);
	reachability.onFailed(kSecondServer, kSecond + BackendReachability::kFailureLifetime + 1);
	EXPECT_FALSE(reachability.isIsolated());
}

TEST(BackendReachability, serversThatOtherGatewaysFoundEndedDoNotIsolate)
{
	BackendReachability reachability;
	reachability.onFailed(kFirst, kSecond);
	reachability.onServerEnded(kFirst);
	reachability.onFailed(kSecondServer, kSecond);
	EXPECT_FALSE(reachability.isIsolated());
	reachability.onFailed(kFirst, kSecond);
	reachability.onServerEnded(kFirst);
	EXPECT_FALSE(reachability.isIsolated());
}

TEST(TunnelPeers, asksNeighboursFirstAndOtherDataCentresNext)
{
	RelayChoice relays({"z0-0", "z0", 25});
	relays.setMembers(members(3, 5));
	TunnelPeers peers({"z0-0", "z0", 25});
	std::minstd_rand random(1);
	for (unsigned run = 0; run < 50; ++run)
	{
		const auto chosen = peers.choose(relays, {}, random, kSecond);
		ASSERT_EQ(chosen.size(), TunnelPeers::kMaxAsked);
		EXPECT_EQ(countIn({chosen.begin(), chosen.begin() + 2}, "z0"), TunnelPeers::kMaxLocal);
		EXPECT_EQ(countIn(chosen, "z1"), 1u);
		EXPECT_EQ(countIn(chosen, "z2"), 1u);
		EXPECT_EQ(std::count(chosen.begin(), chosen.end(), "z0-0"), 0);
	}
}

TEST(TunnelPeers, passesOverGatewaysThatWereUnableForAWhile)
{
	RelayChoice relays({"z0-0", "z0", 25});
	relays.setMembers(members(2, 2));
	TunnelPeers peers({"z0-0", "z0", 25});
	std::minstd_rand random(1);
	peers.onUnable("z0-1", kSecond);
	EXPECT_EQ(countIn(peers.choose(relays, {}, random, kSecond), "z0"), 0u);
	const Micros later = kSecond + TunnelPeers::kCooldown + 1;
	EXPECT_EQ(countIn(peers.choose(relays, {}, random, later), "z0"), 1u);
}

TEST(TunnelPeers, asksGatewaysThatWereHeardWhereMembersAreUnknown)
{
	const RelayChoice relays({"z0-0", "z0", 25});
	TunnelPeers peers({"z0-0", "z0", 25});
	std::minstd_rand random(1);
	EXPECT_EQ(peers.choose(relays, {"z0-0", "z1-0"}, random, kSecond), std::vector<std::string>{"z1-0"});
}

TEST(TunnelPeers, asksABoundedNumberInALargeFleet)
{
	RelayChoice relays({"z0-0", "z0", 25});
	relays.setMembers(members(30, 100));
	TunnelPeers peers({"z0-0", "z0", 25});
	std::minstd_rand random(1);
	EXPECT_EQ(peers.choose(relays, {}, random, kSecond).size(), TunnelPeers::kMaxAsked);
}

TEST(TunnelCodec, requestIsReadAsWritten)
{
	const std::string bytes = formatTunnelRequest({"i-1\"x", 1'700'000'000'123}, 150 * kMillisecond);
	const auto parsed = parseTunnelRequest(bytes.substr(bytes.find("\r\n\r\n") + 4));
	ASSERT_TRUE(parsed);
	EXPECT_EQ(parsed->backend, (BackendIdentity{"i-1\"x", 1'700'000'000'123}));
	EXPECT_EQ(parsed->connectSpan, 150 * kMillisecond);
	EXPECT_TRUE(parsed->frames);
}

TEST(TunnelCodec, requestOfAnEarlierBuildAsksForNoFrames)
{
	const auto earlier = parseTunnelRequest("{\"backend\":\"a\",\"born\":1,\"connect_ms\":1}");
	ASSERT_TRUE(earlier);
	EXPECT_FALSE(earlier->frames);
	const auto invalid = parseTunnelRequest("{\"backend\":\"a\",\"born\":1,\"connect_ms\":1,\"frames\":\"x\"}");
	ASSERT_TRUE(invalid);
	EXPECT_FALSE(invalid->frames);
}

TEST(TunnelCodec, invalidRequestsAreRefused)
{
	for (const char* body :
		 {"", "{", "[]", "{\"backend\":1,\"born\":1,\"connect_ms\":1}", "{\"backend\":\"a\",\"born\":1}",
		  "{\"backend\":\"a\",\"born\":-1,\"connect_ms\":\"x\"}"})
	{
		EXPECT_FALSE(parseTunnelRequest(body)) << body;
	}
}

TEST(TunnelCodec, eachVerdictHasAStatusOfItsOwn)
{
	for (const TunnelVerdict verdict : {TunnelVerdict::Connected, TunnelVerdict::Refused,
										TunnelVerdict::Unreachable, TunnelVerdict::Unlisted, TunnelVerdict::Unable})
	{
		EXPECT_EQ(tunnelVerdictOf(statusOf(verdict)), verdict);
	}
	EXPECT_EQ(tunnelVerdictOf(500), TunnelVerdict::Unable);
}

} // namespace beacongate::test
