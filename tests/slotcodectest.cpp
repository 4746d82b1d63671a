// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the encoding of datagrams about brittle backend servers.

#include "protocol/slotcodec.h"
#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate::test
{
namespace
{
SlotUse use()
{
	return {BackendKey("server"), 7, 1234567890123};
}

template <typename Message> Message decoded(const SlotMessage& _message)
{
	const std::string bytes = encodeSlot(_message);
	EXPECT_TRUE(isSlotDatagram(bytes));
	EXPECT_FALSE(isBrittleDatagram(bytes));
	return std::get<Message>(decodeSlot(bytes).value());
}

void expectUse(const SlotUse& _use)
{
	EXPECT_EQ(_use.backend, use().backend);
	EXPECT_EQ(_use.inFlight, use().inFlight);
	EXPECT_EQ(_use.lastGrant, use().lastGrant);
}
} // namespace

TEST(SlotCodec, requestKeepsItsFields)
{
	const auto request = decoded<SlotRequest>(SlotRequest{42, use(), 16, 2.5, 3, 150 * kMillisecond});
	expectUse(request.use);
	EXPECT_EQ(request.id, 42u);
	EXPECT_EQ(request.slots, 16u);
	EXPECT_EQ(request.rejections, 2.5);
	EXPECT_EQ(request.priority, 3u);
	EXPECT_EQ(request.patience, 150 * kMillisecond);
	EXPECT_FALSE(request.limit);
	EXPECT_FALSE(request.insists);
}

TEST(SlotCodec, requestUnderALimitKeepsItsFields)
{
	const auto request = decoded<SlotRequest>(SlotRequest{42, use(), 16, std::nullopt, 3, 1, 0.5});
	EXPECT_FALSE(request.rejections);
	EXPECT_EQ(request.limit, 0.5);
}

TEST(SlotCodec, noticeKeepsItsFields)
{
	const auto notice = decoded<GrantNotice>(GrantNotice{BackendKey("server"), "a", 3, 2.5});
	EXPECT_EQ(notice.backend, BackendKey("server"));
	EXPECT_EQ(notice.holder, "a");
	EXPECT_EQ(notice.inUse, 3u);
	EXPECT_EQ(notice.limit, 2.5);
	EXPECT_FALSE(decoded<GrantNotice>(GrantNotice{BackendKey("server"), "a", 3}).limit);
}

TEST(SlotCodec, messagesOfAnEarlierBuildAreRead)
{
	const auto read = [](const Json& _fields)
	{
		std::string bytes;
		Json::to_msgpack(_fields, bytes);
		return decodeSlot(bytes);
	};
	const unsigned kind = static_cast<unsigned>(DatagramKind::SlotGrant);
	const auto request = read(Json::array({kDatagramFormat, kind, 0, 5, 1, 9, 42, 16, 2.5, 3, 1}));
	ASSERT_TRUE(request);
	EXPECT_FALSE(std::get<SlotRequest>(*request).limit);
	EXPECT_TRUE(std::get<SlotRequest>(*request).insists);
	const auto answer = read(Json::array({kDatagramFormat, kind, 1, 5, 42, 0, 9}));
	ASSERT_TRUE(answer);
	EXPECT_EQ(std::get<SlotAnswer>(*answer).wait, 0);
	const auto report = read(Json::array({kDatagramFormat, kind, 2, 5, 1, 9, true}));
	ASSERT_TRUE(report);
	EXPECT_FALSE(std::get<SlotReport>(*report).unused);
}

TEST(SlotCodec, answerKeepsItsFields)
{
	const auto answer = decoded<SlotAnswer>(SlotAnswer{42, BackendKey("server"), SlotOutcome::Denied, 9, 7});
	EXPECT_EQ(answer.id, 42u);
	EXPECT_EQ(answer.backend, BackendKey("server"));
	EXPECT_EQ(answer.outcome, SlotOutcome::Denied);
	EXPECT_EQ(answer.grant, 9u);
	EXPECT_EQ(answer.wait, 7);
}

TEST(SlotCodec, reportKeepsItsFields)
{
	const auto report = decoded<SlotReport>(SlotReport{use(), true, true, 2.5});
	EXPECT_EQ(report.rejections, 2.5);
	expectUse(report.use);
	EXPECT_TRUE(report.rejected);
	EXPECT_TRUE(report.unused);
}

TEST(SlotCodec, statementsKeepTheirFields)
{
	const std::string bytes = encodeBrittle({{ServiceKey("a"), 3.0, kSecond}});
	EXPECT_TRUE(isBrittleDatagram(bytes));
	const auto records = decodeBrittle(bytes).value();
	ASSERT_EQ(records.size(), 1u);
	EXPECT_EQ(records.front().service, ServiceKey("a"));
	EXPECT_EQ(records.front().rejections, 3.0);
	EXPECT_EQ(records.front().age, kSecond);
}

TEST(SlotCodec, damagedBytesAreNoMessages)
{
	const std::string whole = encodeSlot(SlotRequest{42, use(), 16, 2.5, 3, 1});
	EXPECT_FALSE(decodeSlot(whole.substr(0, whole.size() - 1)));
	EXPECT_FALSE(decodeSlot(encodeBrittle({})));
	EXPECT_FALSE(decodeBrittle(whole));
	EXPECT_FALSE(decodeBrittle(encodeBrittle({{ServiceKey("a"), -1.0, 0}})));
}

RC_GTEST_PROP(SlotCodecProperty, anyBytesAreReadOrIgnored, (const std::string& _bytes))
{
	decodeSlot(_bytes);
	decodeBrittle(_bytes);
}

} // namespace beacongate::test
