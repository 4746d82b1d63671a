// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Gateways of two builds beside each other, as they stand while VMs are replaced one after the other.
///
/// What was seen: half of the gateways ran a build whose datagrams differed in nothing but their format number, and
/// teams ran more than their limits on three of three seeds of a soak, on none with one number.
///
/// Cause: a datagram was taken only with exactly the reader's own format number and number of fields, so that each
/// half of the fleet was silence to the other.

#include "golden.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kFieldsOf7 = 27;

Json fieldsOf(const std::string& _bytes)
{
	return Json::from_msgpack(_bytes);
}

std::string bytesOf(const Json& _fields)
{
	std::string bytes;
	Json::to_msgpack(_fields, bytes);
	return bytes;
}

/// Expects all that the golden datagrams tell.
void expectAll(const std::optional<GossipMessage>& _message)
{
	ASSERT_TRUE(_message);
	EXPECT_EQ(_message->kind, GossipKind::FleetSums);
	EXPECT_EQ(_message->run, (GatewayRun{"g1", 1785851959017900}));
	EXPECT_EQ(_message->host, "127.0.0.1");
	EXPECT_EQ(_message->sent, 1234567);
	EXPECT_EQ(_message->echo, 1200000);
	EXPECT_EQ(_message->wallClock, 1785851960000000);
	EXPECT_EQ(_message->uptime, 9000000);
	EXPECT_EQ(_message->configVersion, 6u);
	EXPECT_EQ(_message->storeRevision, 38u);
	EXPECT_EQ(_message->configAge, 150000);
	EXPECT_TRUE(_message->leaving);
	EXPECT_EQ(_message->members, (std::vector<std::string>{"127.0.0.1", "127.0.0.2"}));
	ASSERT_EQ(_message->quotas.size(), 2u);
	EXPECT_EQ(_message->quotas[0].taken, 1234.5);
	ASSERT_EQ(_message->loads.size(), 1u);
	EXPECT_EQ(_message->loads[0].key, BackendKey("w1", 1700000000000));
	EXPECT_EQ(_message->loads[0].pendingTokens, 1600u);
	ASSERT_EQ(_message->usage.size(), 1u);
	EXPECT_EQ(_message->usage[0].count, 412u);
	ASSERT_EQ(_message->demand.size(), 1u);
	EXPECT_EQ(_message->demand[0].work, 1.5);
	EXPECT_EQ(_message->dataCentre, "z1");
	EXPECT_EQ(_message->contentFingerprint, 0x0123456789abcdefu);
	EXPECT_EQ(_message->contentAge, 250000);
	EXPECT_FALSE(_message->whole);
	EXPECT_TRUE(_message->wantsSums);
	EXPECT_EQ(_message->gateways, 12u);
	ASSERT_EQ(_message->centreUsage.size(), 1u);
	EXPECT_EQ(_message->centreUsage[0].second.count, 11u);
	EXPECT_EQ(_message->draining, (std::vector<BackendIdentity>{{"w2", 1700000000001}}));
}
} // namespace

TEST(Builds, aDatagramOfFormat6IsReadInFull)
{
	const auto message = decodeGossip(readGoldenDatagram("gossip-6"));
	expectAll(message);
	ASSERT_TRUE(message);
	EXPECT_TRUE(message->levels.empty()); // It knows none: a gateway that starts goes by its own part.
}

TEST(Builds, aDatagramOfFormat7IsReadInFull)
{
	const auto message = decodeGossip(readGoldenDatagram("gossip-7"));
	expectAll(message);
	ASSERT_TRUE(message);
	ASSERT_EQ(message->levels.size(), 1u);
	EXPECT_EQ(message->levels[0].left, 17.5);
}

TEST(Builds, whatIsSentIsWhatTheBuildBeforeReads)
{
	// It takes a datagram only with its own number and as many fields as it knows.
	const auto message = decodeGossip(readGoldenDatagram("gossip-7"));
	ASSERT_TRUE(message);
	EXPECT_EQ(encodeGossip(*message), readGoldenDatagram("gossip-7"));
	EXPECT_EQ(fieldsOf(encodeGossip(GossipMessage())).size(), kFieldsOf7);
	EXPECT_EQ(fieldsOf(encodeGossip(GossipMessage()))[0], 7);
}

TEST(Builds, aLaterFormatWithFieldsThatAreNotKnownIsReadAsFarAsItIsKnown)
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	fields[0] = 8;
	expectAll(decodeGossip(bytesOf(fields)));
	fields.push_back("news");
	fields.push_back(Json::array({1, Json::array({2, nullptr})}));
	fields[0] = 9;
	expectAll(decodeGossip(bytesOf(fields)));
}

TEST(Builds, whatIsNoFormatThatIsReadIsRefused)
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	for (const Json& format : {Json(5), Json(0), Json(-1), Json("7"), Json(7.5), Json(nullptr), Json(1e300)})
	{
		fields[0] = format;
		EXPECT_FALSE(decodeGossip(bytesOf(fields))) << format;
	}
	fields[0] = 7;
	fields[1] = 200; // A kind of a later build: not for this one.
	EXPECT_FALSE(decodeGossip(bytesOf(fields)));
}

TEST(Builds, aDatagramWithoutAFieldOfItsFormatIsRefused)
{
	for (const char* name : {"gossip-6", "gossip-7"})
	{
		Json fields = fieldsOf(readGoldenDatagram(name));
		fields.erase(fields.size() - 1);
		EXPECT_FALSE(decodeGossip(bytesOf(fields))) << name;
	}
}

TEST(Builds, aDatagramThatIsNestedAsDeepAsItsBytesAllowIsRefused)
{
	for (const char byte : {'\x91', '\x81'})
	{
		EXPECT_FALSE(decodeGossip(std::string(65'000, byte)));
	}
}

RC_GTEST_PROP(Builds, noBytesAreTakenForAMessageByHalves,
			  (std::uint16_t place, std::uint8_t byte, std::uint8_t cut))
{
	for (const char* name : {"gossip-6", "gossip-7"})
	{
		const std::string whole = readGoldenDatagram(name);
		std::string changed = whole;
		changed[place % changed.size()] = static_cast<char>(byte);
		decodeGossip(changed);
		decodeGossip(whole + changed);
		RC_ASSERT(!decodeGossip(whole + static_cast<char>(byte)));
		RC_ASSERT(!decodeGossip(whole.substr(0, cut % whole.size())));
	}
}

RC_GTEST_PROP(Builds, fieldsThatAreSwappedNeverGiveAMessageByHalves, (std::uint8_t one, std::uint8_t other))
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	std::swap(fields[one % fields.size()], fields[other % fields.size()]);
	const auto message = decodeGossip(bytesOf(fields));
	if (message)
	{
		const std::string told = encodeGossip(*message);
		RC_ASSERT(encodeGossip(*decodeGossip(told)) == told);
	}
}

} // namespace beacongate::test
