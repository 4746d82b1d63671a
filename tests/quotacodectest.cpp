// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Datagrams about quotas: bytes that landed are read, and bytes that are none are told apart.

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
const QuotaAsk kAsk{1234567890123, "fleet-a", 4711.5};
const QuotaAnswer kAnswer{1234567890123, GrantOutcome::Refused, 250'000, 300'000, "fleet-a", 4711.5};
const QuotaReturn kReturn{"fleet-a", 4711.5};

void expectSame(const std::string& _bytes, const QuotaMessage& _message)
{
	ASSERT_TRUE(isQuotaDatagram(_bytes));
	const auto read = decodeQuota(_bytes);
	ASSERT_TRUE(read);
	EXPECT_EQ(encodeQuota(*read), encodeQuota(_message));
}
} // namespace

TEST(QuotaCodec, readsWhatBuildsOfBeforeSend)
{
	expectSame(readGoldenDatagram("quota-ask-7"), kAsk);
	expectSame(readGoldenDatagram("quota-answer-7"), kAnswer);
	expectSame(readGoldenDatagram("quota-return-7"), kReturn);
	EXPECT_EQ(encodeQuota(kAsk), readGoldenDatagram("quota-ask-7"));
	EXPECT_EQ(encodeQuota(kAnswer), readGoldenDatagram("quota-answer-7"));
	EXPECT_EQ(encodeQuota(kReturn), readGoldenDatagram("quota-return-7"));
}

TEST(QuotaCodec, keepsAllFields)
{
	const auto read = decodeQuota(encodeQuota(kAnswer));
	ASSERT_TRUE(read);
	const auto& answer = std::get<QuotaAnswer>(*read);
	EXPECT_EQ(answer.id, kAnswer.id);
	EXPECT_EQ(answer.outcome, kAnswer.outcome);
	EXPECT_EQ(answer.wait, kAnswer.wait);
	EXPECT_EQ(answer.hold, kAnswer.hold);
	EXPECT_EQ(answer.team, kAnswer.team);
	EXPECT_EQ(answer.amount, kAnswer.amount);
}

/// Gateways of builds that know nothing of grants drop them, and gossip is never taken for a grant.
TEST(QuotaCodec, isToldApartFromGossip)
{
	EXPECT_FALSE(decodeGossip(encodeQuota(kAsk)));
	EXPECT_FALSE(decodeGossip(encodeQuota(kAnswer)));
	EXPECT_FALSE(isQuotaDatagram(encodeGossip(GossipMessage())));
	EXPECT_FALSE(isQuotaDatagram(readGoldenDatagram("gossip-6")));
	EXPECT_FALSE(isQuotaDatagram(readGoldenDatagram("gossip-7")));
}

TEST(QuotaCodec, passesOverFieldsOfALaterFormat)
{
	Json fields = Json::from_msgpack(encodeQuota(kAsk));
	fields[0] = 8;
	fields.push_back("a field that is not known yet");
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	expectSame(bytes, kAsk);
}

TEST(QuotaCodec, refusesWhatMakesNoSense)
{
	const std::vector<Json> wrong = {
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
	for (const Json& fields : wrong)
	{
		std::string bytes;
		Json::to_msgpack(fields, bytes);
		EXPECT_FALSE(decodeQuota(bytes)) << fields.dump();
	}
}

RC_GTEST_PROP(QuotaCodec, readsNoBytesAsPartOfAMessage, (const std::string& bytes, std::uint8_t length))
{
	decodeQuota(bytes); // Whatever they are, they are read to an end.
	const std::string whole = encodeQuota(kAnswer);
	const std::size_t cut = length % whole.size();
	RC_ASSERT(!decodeQuota(std::string_view(whole).substr(0, cut)));
}

} // namespace beacongate::test
