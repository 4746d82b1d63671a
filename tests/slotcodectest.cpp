// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the encoding of datagrams about brittle backend servers.

#include "protocol/slotcodec.h"

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
}

TEST(SlotCodec, answerKeepsItsFields)
{
	const auto answer = decoded<SlotAnswer>(SlotAnswer{42, BackendKey("server"), SlotOutcome::Queued, 9});
	EXPECT_EQ(answer.id, 42u);
	EXPECT_EQ(answer.backend, BackendKey("server"));
	EXPECT_EQ(answer.outcome, SlotOutcome::Queued);
	EXPECT_EQ(answer.grant, 9u);
}

TEST(SlotCodec, reportKeepsItsFields)
{
	const auto report = decoded<SlotReport>(SlotReport{use(), true});
	expectUse(report.use);
	EXPECT_TRUE(report.rejected);
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
