// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Datagrams about crashes: those of earlier builds are decoded, and any other bytes are rejected.

#include "protocol/crashcodec.h"
#include "golden.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"
#include "protocol/quotacodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
CrashReport sampleReport()
{
	Crash crash;
	crash.backend.value = 4'000'000'000;
	Crash cleared;
	cleared.backend.value = 7;
	cleared.cleared = true;
	return {
		CrashReportKind::Answer, 0xFEDCBA9876543210, {{{0xAABBCCDD, 1, 2}, {cleared, crash}, 1500 * kMillisecond}}};
}
} // namespace

TEST(CrashCodec, decodesAndEncodesTheGoldenDatagram)
{
	const std::string golden = readGoldenDatagram("crash-report-7");
	EXPECT_TRUE(isCrashDatagram(golden));
	EXPECT_EQ(encodeCrashReport(sampleReport()), golden);
	const auto decoded = decodeCrashReport(golden);
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->kind, CrashReportKind::Answer);
	EXPECT_EQ(decoded->digest, sampleReport().digest);
	ASSERT_EQ(decoded->records.size(), 1u);
	EXPECT_EQ(decoded->records[0].request, sampleReport().records[0].request);
	EXPECT_EQ(decoded->records[0].crashes, sampleReport().records[0].crashes);
	EXPECT_EQ(decoded->records[0].age, sampleReport().records[0].age);
}

/// Builds without these datagrams drop them.
TEST(CrashCodec, isDistinguishedFromOtherDatagrams)
{
	const std::string bytes = encodeCrashReport(sampleReport());
	EXPECT_FALSE(decodeGossip(bytes));
	EXPECT_FALSE(decodeQuota(bytes));
	EXPECT_FALSE(isCrashDatagram(encodeGossip(GossipMessage())));
	EXPECT_FALSE(isCrashDatagram(encodeQuota(QuotaGrantReturn{"team", 1.0})));
	EXPECT_FALSE(isCrashDatagram(readGoldenDatagram("gossip-6")));
	EXPECT_FALSE(isCrashDatagram(readGoldenDatagram("quota-ask-7")));
	EXPECT_FALSE(isCrashDatagram(""));
}

TEST(CrashCodec, ignoresAddedFieldsOfALaterFormat)
{
	Json fields = Json::from_msgpack(encodeCrashReport(sampleReport()));
	fields[0] = 8;
	fields.push_back("a field that is not known yet");
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	EXPECT_TRUE(isCrashDatagram(bytes));
	EXPECT_TRUE(decodeCrashReport(bytes));
}

TEST(CrashCodec, largestReportFitsIntoItsBound)
{
	constexpr std::size_t kMaxBytes = 6u << 10;
	CrashReport report = sampleReport();
	CrashRecord record = report.records.front();
	record.request = {0xFFFFFFFF, ~0ULL, ~0ULL};
	record.age = CrashLedger::kRetention;
	record.crashes.assign(CrashLedger::kMaxCrashes, record.crashes.back());
	report.records.assign(CrashLedger::kMaxReported, record);
	EXPECT_LE(encodeCrashReport(report).size(), kMaxBytes);
	const auto decoded = decodeCrashReport(encodeCrashReport(report));
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->records.size(), CrashLedger::kMaxReported);
}

RC_GTEST_PROP(CrashCodec, survivesChangedBytes, (std::uint16_t _place, std::uint8_t _value))
{
	std::string bytes = encodeCrashReport(sampleReport());
	bytes[_place % bytes.size()] = static_cast<char>(_value);
	const auto decoded = decodeCrashReport(bytes);
	RC_ASSERT(!decoded || decoded->records.size() <= CrashLedger::kMaxReported);
}

} // namespace beacongate::test
