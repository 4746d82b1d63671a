// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Datagrams about where streams began: those of earlier builds are decoded, and any other bytes are rejected.

#include "protocol/origincodec.h"
#include "golden.h"
#include "protocol/crashcodec.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"
#include "protocol/limitcodec.h"
#include "protocol/quotacodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace beacongate::test
{
namespace
{
VersionKey versionOf(std::uint64_t _value)
{
	VersionKey key;
	key.value = _value;
	return key;
}

StreamOriginRecord sampleRecord()
{
	StreamOriginRecord record;
	record.stream.value = 0xFEDCBA9876543210;
	record.version = versionOf(0x8000000000000001);
	record.lifetime = 15 * kSecond;
	return record;
}

StreamOriginQuery sampleQuery()
{
	StreamOriginQuery query;
	query.id = 7;
	query.stream.value = 0xFEDCBA9876543210;
	query.service.value = 0x8000000000000002;
	return query;
}

StreamOriginAnswer sampleAnswer()
{
	return {7, versionOf(3), {versionOf(4), versionOf(0xFFFFFFFFFFFFFFFF)}};
}

const std::vector<std::pair<std::string, StreamOriginMessage>> kSamples = {
	{"origin-record-7", sampleRecord()}, {"origin-query-7", sampleQuery()}, {"origin-answer-7", sampleAnswer()}};

std::string hexOf(const std::string& _bytes)
{
	std::string digits;
	for (const char byte : _bytes)
	{
		char text[3];
		std::snprintf(text, sizeof text, "%02x", static_cast<unsigned char>(byte));
		digits += text;
	}
	return digits;
}
} // namespace

TEST(OriginCodec, decodesAndEncodesTheGoldenDatagrams)
{
	for (const auto& [name, message] : kSamples)
	{
		const std::string golden = readGoldenDatagram(name);
		EXPECT_EQ(hexOf(encodeOrigin(message)), hexOf(golden)) << name;
		EXPECT_TRUE(isOriginDatagram(golden));
		EXPECT_TRUE(decodeOrigin(golden)) << name;
	}
	const auto answer = decodeOrigin(readGoldenDatagram("origin-answer-7"));
	ASSERT_TRUE(answer && std::holds_alternative<StreamOriginAnswer>(*answer));
	EXPECT_EQ(std::get<StreamOriginAnswer>(*answer).version, sampleAnswer().version);
	EXPECT_EQ(std::get<StreamOriginAnswer>(*answer).recentVersions, sampleAnswer().recentVersions);
}

TEST(OriginCodec, isDistinguishedFromOtherDatagrams)
{
	for (const auto& [name, message] : kSamples)
	{
		const std::string bytes = encodeOrigin(message);
		EXPECT_FALSE(decodeGossip(bytes));
		EXPECT_FALSE(decodeQuota(bytes)) << "builds without these datagrams drop them";
		EXPECT_FALSE(isCrashDatagram(bytes));
		EXPECT_FALSE(isLimitDatagram(bytes));
	}
	for (const char* other : {"gossip-6", "gossip-7", "quota-ask-7", "crash-report-7", "limit-report-7"})
	{
		EXPECT_FALSE(isOriginDatagram(readGoldenDatagram(other))) << other;
	}
}

TEST(OriginCodec, ignoresAddedFieldsOfALaterFormat)
{
	for (const auto& [name, message] : kSamples)
	{
		Json fields = Json::from_msgpack(encodeOrigin(message));
		fields[0] = 8;
		fields.push_back("a field that is not known yet");
		std::string bytes;
		Json::to_msgpack(fields, bytes);
		EXPECT_TRUE(isOriginDatagram(bytes));
		EXPECT_TRUE(decodeOrigin(bytes)) << name;
	}
}

RC_GTEST_PROP(OriginCodec, survivesChangedBytes, (std::uint16_t _place, std::uint8_t _value))
{
	for (const auto& [name, message] : kSamples)
	{
		std::string bytes = encodeOrigin(message);
		bytes[_place % bytes.size()] = static_cast<char>(_value);
		const auto decoded = decodeOrigin(bytes);
		const auto* answer = decoded ? std::get_if<StreamOriginAnswer>(&*decoded) : nullptr;
		const bool bounded = answer == nullptr || answer->recentVersions.size() <= StreamOriginAnswer::kMaxVersions;
		RC_ASSERT(bounded);
	}
}

} // namespace beacongate::test
