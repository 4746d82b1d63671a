// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Datagrams about quota grants: those of earlier builds are decoded, and any other bytes are rejected.

#include "protocol/quotacodec.h"
#include "golden.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
const QuotaGrantRequest kGrantRequest{1234567890123, "fleet-a", 4711.5};
const QuotaGrantAnswer kGrantAnswer{1234567890123, GrantOutcome::Refused, 250'000, 300'000, "fleet-a", 4711.5};
const QuotaGrantReturn kGrantReturn{"fleet-a", 4711.5};

void expectDecodesTo(const std::string& _bytes, const QuotaMessage& _message)
{
	ASSERT_TRUE(isQuotaDatagram(_bytes));
	const auto decoded = decodeQuota(_bytes);
	ASSERT_TRUE(decoded);
	EXPECT_EQ(encodeQuota(*decoded), encodeQuota(_message));
}
} // namespace

TEST(QuotaCodec, decodesAndEncodesTheGoldenDatagrams)
{
	expectDecodesTo(readGoldenDatagram("quota-ask-7"), kGrantRequest);
	expectDecodesTo(readGoldenDatagram("quota-answer-7"), kGrantAnswer);
	expectDecodesTo(readGoldenDatagram("quota-return-7"), kGrantReturn);
	EXPECT_EQ(encodeQuota(kGrantRequest), readGoldenDatagram("quota-ask-7"));
	EXPECT_EQ(encodeQuota(kGrantAnswer), readGoldenDatagram("quota-answer-7"));
	EXPECT_EQ(encodeQuota(kGrantReturn), readGoldenDatagram("quota-return-7"));
}

TEST(QuotaCodec, roundTripsAllFieldsOfAnAnswer)
{
	const auto decoded = decodeQuota(encodeQuota(kGrantAnswer));
	ASSERT_TRUE(decoded);
	const auto& answer = std::get<QuotaGrantAnswer>(*decoded);
	EXPECT_EQ(answer.id, kGrantAnswer.id);
	EXPECT_EQ(answer.outcome, kGrantAnswer.outcome);
	EXPECT_EQ(answer.wait, kGrantAnswer.wait);
	EXPECT_EQ(answer.hold, kGrantAnswer.hold);
	EXPECT_EQ(answer.team, kGrantAnswer.team);
	EXPECT_EQ(answer.amount, kGrantAnswer.amount);
}

/// Builds without quota grants drop these datagrams, and gossip is never decoded as a message about grants.
TEST(QuotaCodec, isDistinguishedFromGossip)
{
	EXPECT_FALSE(decodeGossip(encodeQuota(kGrantRequest)));
	EXPECT_FALSE(decodeGossip(encodeQuota(kGrantAnswer)));
	EXPECT_FALSE(isQuotaDatagram(encodeGossip(GossipMessage())));
	EXPECT_FALSE(isQuotaDatagram(readGoldenDatagram("gossip-6")));
	EXPECT_FALSE(isQuotaDatagram(readGoldenDatagram("gossip-7")));
}

TEST(QuotaCodec, ignoresAddedFieldsOfALaterFormat)
{
	Json fields = Json::from_msgpack(encodeQuota(kGrantRequest));
	fields[0] = 8;
	fields.push_back("a field that is not known yet");
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	expectDecodesTo(bytes, kGrantRequest);
}

TEST(QuotaCodec, rejectsInvalidMessages)
{
	const std::vector<Json> invalidMessages = {
		Json::array({7, 4}),
		Json::array({7, 4, 1, "team", -1.0}),
		Json::array({7, 4, 1, "team", "much"}),
		Json::array({6, 4, 1, "team", 1.0}),
		Json::array({7, 9, 1, "team", 1.0}),
		Json::array({7, 5, 1, 4, 0, 0, "team", 1.0}),
		Json::array({7, 5, 1, 0, 0, 0}),
		Json::array({7, 6, "team"}),
		Json::array({}),
	};
	for (const Json& fields : invalidMessages)
	{
		std::string bytes;
		Json::to_msgpack(fields, bytes);
		EXPECT_FALSE(decodeQuota(bytes)) << fields.dump();
	}
}

RC_GTEST_PROP(QuotaCodec, rejectsTruncatedMessages, (const std::string& bytes, std::uint8_t length))
{
	decodeQuota(bytes); // Arbitrary bytes must not crash the decoder.
	const std::string complete = encodeQuota(kGrantAnswer);
	const std::size_t cut = length % complete.size();
	RC_ASSERT(!decodeQuota(std::string_view(complete).substr(0, cut)));
}

} // namespace beacongate::test
