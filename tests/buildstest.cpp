// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Gossip between gateways of two builds, which run side by side while VMs are replaced one after the other.
///
/// Guards against a decoder that accepts only its own format number and number of fields. With half of the gateways
/// on a build whose datagrams differed only in the format number, neither half received the gossip of the other,
/// and teams exceeded their limits on three of three seeds of a soak; with a single format number they did on none.

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
constexpr std::size_t kFormat7FieldCount = 27;

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

/// Checks all fields that the golden datagrams of formats 6 and 7 have in common.
void expectGoldenContent(const std::optional<GossipMessage>& _message)
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
	ASSERT_EQ(_message->dataCentreUsage.size(), 1u);
	EXPECT_EQ(_message->dataCentreUsage[0].second.count, 11u);
	EXPECT_EQ(_message->draining, (std::vector<BackendIdentity>{{"w2", 1700000000001}}));
}
} // namespace

TEST(GossipCompatibility, decodesAllFieldsOfFormat6)
{
	const auto message = decodeGossip(readGoldenDatagram("gossip-6"));
	expectGoldenContent(message);
	ASSERT_TRUE(message);
	EXPECT_TRUE(message->levels.empty()); // Format 6 has no levels: a gateway that starts enforces its own share.
}

TEST(GossipCompatibility, decodesAllFieldsOfFormat7)
{
	const auto message = decodeGossip(readGoldenDatagram("gossip-7"));
	expectGoldenContent(message);
	ASSERT_TRUE(message);
	ASSERT_EQ(message->levels.size(), 1u);
	EXPECT_EQ(message->levels[0].left, 17.5);
}

TEST(GossipCompatibility, encodesTheFormatThatThePreviousBuildAccepts)
{
	// The previous build accepts only format 7 with exactly its fields.
	const auto message = decodeGossip(readGoldenDatagram("gossip-7"));
	ASSERT_TRUE(message);
	EXPECT_EQ(encodeGossip(*message), readGoldenDatagram("gossip-7"));
	EXPECT_EQ(fieldsOf(encodeGossip(GossipMessage())).size(), kFormat7FieldCount);
	EXPECT_EQ(fieldsOf(encodeGossip(GossipMessage()))[0], 7);
}

TEST(GossipCompatibility, decodesTheKnownFieldsOfALaterFormat)
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	fields[0] = 8;
	expectGoldenContent(decodeGossip(bytesOf(fields)));
	fields.push_back("news");
	fields.push_back(Json::array({1, Json::array({2, nullptr})}));
	fields[0] = 9;
	expectGoldenContent(decodeGossip(bytesOf(fields)));
}

TEST(GossipCompatibility, rejectsUnsupportedFormatsAndUnknownKinds)
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	for (const Json& format : {Json(5), Json(0), Json(-1), Json("7"), Json(7.5), Json(nullptr), Json(1e300)})
	{
		fields[0] = format;
		EXPECT_FALSE(decodeGossip(bytesOf(fields))) << format;
	}
	fields[0] = 7;
	fields[1] = 200; // A message kind that only a later build has.
	EXPECT_FALSE(decodeGossip(bytesOf(fields)));
}

TEST(GossipCompatibility, rejectsADatagramWithAMissingField)
{
	for (const char* name : {"gossip-6", "gossip-7"})
	{
		Json fields = fieldsOf(readGoldenDatagram(name));
		fields.erase(fields.size() - 1);
		EXPECT_FALSE(decodeGossip(bytesOf(fields))) << name;
	}
}

TEST(GossipCompatibility, rejectsADeeplyNestedDatagram)
{
	for (const char byte : {'\x91', '\x81'})
	{
		EXPECT_FALSE(decodeGossip(std::string(65'000, byte)));
	}
}

RC_GTEST_PROP(GossipCompatibility, rejectsTruncatedDatagramsAndTrailingBytes,
			  (std::uint16_t position, std::uint8_t byte, std::uint8_t cutLength))
{
	for (const char* name : {"gossip-6", "gossip-7"})
	{
		const std::string datagram = readGoldenDatagram(name);
		std::string changed = datagram;
		changed[position % changed.size()] = static_cast<char>(byte);
		decodeGossip(changed);
		decodeGossip(datagram + changed);
		RC_ASSERT(!decodeGossip(datagram + static_cast<char>(byte)));
		RC_ASSERT(!decodeGossip(datagram.substr(0, cutLength % datagram.size())));
	}
}

RC_GTEST_PROP(GossipCompatibility, encodesAgainWhatItDecodedFromSwappedFields,
			  (std::uint8_t firstIndex, std::uint8_t secondIndex))
{
	Json fields = fieldsOf(readGoldenDatagram("gossip-7"));
	std::swap(fields[firstIndex % fields.size()], fields[secondIndex % fields.size()]);
	const auto message = decodeGossip(bytesOf(fields));
	if (message)
	{
		const std::string encoded = encodeGossip(*message);
		RC_ASSERT(encodeGossip(*decodeGossip(encoded)) == encoded);
	}
}

} // namespace beacongate::test
