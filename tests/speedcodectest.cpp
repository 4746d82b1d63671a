// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the encoding of datagrams about the speed of backend servers.

#include "protocol/speedcodec.h"
#include "protocol/crashcodec.h"
#include "protocol/datagramkind.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"
#include "protocol/limitcodec.h"
#include "protocol/origincodec.h"
#include "protocol/quotacodec.h"
#include "protocol/slotcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>

namespace beacongate::test
{
namespace
{
constexpr unsigned kKind = static_cast<unsigned>(DatagramKind::ServerSpeed);

std::vector<SpeedReport> reports(std::size_t _count)
{
	std::vector<SpeedReport> list;
	for (std::size_t index = 0; index < _count; ++index)
	{
		list.push_back({BackendKey("server-" + std::to_string(index)), 0.6});
	}
	return list;
}

std::string packed(const Json& _fields)
{
	std::string bytes;
	Json::to_msgpack(_fields, bytes);
	return bytes;
}

std::string withEntries(const Json::binary_t& _entries)
{
	return packed(Json::array({kDatagramFormat, kKind, Json::binary(_entries)}));
}

std::string headOfKind(unsigned _kind)
{
	return {'\x93', static_cast<char>(kDatagramFormat), static_cast<char>(_kind)};
}
} // namespace

TEST(SpeedCodec, reportsKeepTheirFields)
{
	const std::string bytes = encodeSpeeds({{BackendKey("a"), 0.6}, {BackendKey("b", 7), 1.57}});
	EXPECT_TRUE(isSpeedDatagram(bytes));
	const auto read = decodeSpeeds(bytes).value();
	ASSERT_EQ(read.size(), 2u);
	EXPECT_EQ(read[0].key, BackendKey("a"));
	EXPECT_DOUBLE_EQ(read[0].slowdown, 0.6);
	EXPECT_EQ(read[1].key, BackendKey("b", 7));
	EXPECT_DOUBLE_EQ(read[1].slowdown, 1.57);
	EXPECT_TRUE(decodeSpeeds(encodeSpeeds({})).value().empty());
}

// Builds of different byte order, or a change of the layout, would misread each other's speeds.
TEST(SpeedCodec, bytesOfAReportAreFixed)
{
	SpeedReport report;
	report.key.value = 0x01020304;
	report.slowdown = 3.0; // 300 hundredths are 0x012C.
	const std::string expected("\x93\x07\x0C\xC4\x06\x04\x03\x02\x01\x2C\x01", 11);
	EXPECT_EQ(encodeSpeeds({report}), expected);
}

// The messages of a gateway stay under 4 KB/s, which is planned with this size.
TEST(SpeedCodec, fullDatagramHas774Bytes)
{
	const std::string full = encodeSpeeds(reports(kMaxSpeedReports));
	EXPECT_EQ(full.size(), 774u);
	EXPECT_EQ(decodeSpeeds(full).value().size(), 128u);
}

TEST(SpeedCodec, reportsBeyondTheLargestNumberAreLeftOut)
{
	const auto read = decodeSpeeds(encodeSpeeds(reports(kMaxSpeedReports + 1))).value();
	ASSERT_EQ(read.size(), kMaxSpeedReports);
	EXPECT_EQ(read.back().key, BackendKey("server-127"));
}

// A datagram of a faulty gateway must not make others store more than they would send.
TEST(SpeedCodec, datagramWithTooManyReportsIsRefused)
{
	EXPECT_TRUE(decodeSpeeds(withEntries(Json::binary_t(std::vector<std::uint8_t>(kMaxSpeedReports * 6, 1)))));
	EXPECT_FALSE(
		decodeSpeeds(withEntries(Json::binary_t(std::vector<std::uint8_t>((kMaxSpeedReports + 1) * 6, 1)))));
}

TEST(SpeedCodec, datagramCutAtAnyLengthIsRefused)
{
	const std::string whole = encodeSpeeds(reports(3));
	for (std::size_t length = 0; length < whole.size(); ++length)
	{
		EXPECT_FALSE(decodeSpeeds(whole.substr(0, length))) << length;
	}
	EXPECT_FALSE(decodeSpeeds(whole + '\x01'));
}

TEST(SpeedCodec, partOfAReportIsRefused)
{
	for (std::size_t length = 1; length < 18; ++length)
	{
		const bool whole = length % 6 == 0;
		EXPECT_EQ(decodeSpeeds(withEntries(Json::binary_t(std::vector<std::uint8_t>(length, 1)))).has_value(),
				  whole)
			<< length;
	}
}

// Later builds append fields and raise the format number; this build must still read their speeds.
TEST(SpeedCodec, fieldsOfALaterBuildAreIgnored)
{
	const Json entries = Json::binary(Json::binary_t(std::vector<std::uint8_t>{1, 0, 0, 0, 60, 0}));
	for (const Json& fields : {Json::array({kDatagramFormat + 1, kKind, entries, 5}),
							   Json::array({kDatagramFormat, kKind, entries, "text", Json::array({1, 2})})})
	{
		const std::string bytes = packed(fields);
		EXPECT_TRUE(isSpeedDatagram(bytes));
		const auto read = decodeSpeeds(bytes);
		ASSERT_TRUE(read);
		ASSERT_EQ(read->size(), 1u);
		EXPECT_EQ(read->front().key.value, 1u);
		EXPECT_DOUBLE_EQ(read->front().slowdown, 0.6);
	}
}

TEST(SpeedCodec, otherFieldsAreRefused)
{
	const Json entries = Json::binary(Json::binary_t(std::vector<std::uint8_t>{1, 0, 0, 0, 60, 0}));
	for (const Json& fields :
		 {Json::array({kDatagramFormat, kKind + 1, entries}), Json::array({kDatagramFormat, kKind - 1, entries}),
		  Json::array({kDatagramFormat - 1, kKind, entries}), Json::array({kDatagramFormat, kKind}),
		  Json::array({"7", kKind, entries}), Json::array({kDatagramFormat, "12", entries}),
		  Json::array({kDatagramFormat, kKind, "\x01"}), Json::array({kDatagramFormat, kKind, 5}),
		  Json::array({kDatagramFormat, kKind, nullptr}), Json::array(), Json::object({{"a", entries}}), Json(5)})
	{
		EXPECT_FALSE(decodeSpeeds(packed(fields))) << fields.dump();
	}
}

// A slowdown of nothing would make a server appear infinitely fast.
TEST(SpeedCodec, slowdownOfZeroIsRefused)
{
	EXPECT_FALSE(decodeSpeeds(withEntries(Json::binary_t(std::vector<std::uint8_t>{1, 0, 0, 0, 0, 0}))));
}

TEST(SpeedCodec, invalidSlowdownsDoNotSpoilTheDatagram)
{
	const double nan = std::numeric_limits<double>::quiet_NaN();
	const double infinity = std::numeric_limits<double>::infinity();
	const auto read = decodeSpeeds(encodeSpeeds({{BackendKey("nan"), nan},
												 {BackendKey("infinite"), infinity},
												 {BackendKey("negative"), -1.0},
												 {BackendKey("zero"), 0.0},
												 {BackendKey("huge"), 1e300},
												 {BackendKey("sound"), 0.6}}));
	ASSERT_TRUE(read);
	EXPECT_EQ(read->back().key, BackendKey("sound"));
	for (const SpeedReport& report : *read)
	{
		EXPECT_NE(report.key, BackendKey("nan"));
		EXPECT_GE(report.slowdown, ServerSpeeds::kMinSlowdown);
		EXPECT_LE(report.slowdown, ServerSpeeds::kMaxSlowdown);
	}
}

// Builds without this kind have only the other decoders, and must ignore it rather than misread it. They pass every
// short list of an unknown kind to decodeQuota(), which is why isQuotaDatagram() holds for it.
TEST(SpeedCodec, decodersOfOtherKindsRefuseIt)
{
	for (const std::size_t count : {0u, 1u, 128u})
	{
		const std::string bytes = encodeSpeeds(reports(count));
		EXPECT_FALSE(isCrashDatagram(bytes));
		EXPECT_FALSE(isLimitDatagram(bytes));
		EXPECT_FALSE(isLimitQuery(bytes));
		EXPECT_FALSE(isOriginDatagram(bytes));
		EXPECT_FALSE(isSlotDatagram(bytes));
		EXPECT_FALSE(isBrittleDatagram(bytes));
		EXPECT_FALSE(decodeCrashReport(bytes));
		EXPECT_FALSE(decodeLimits(bytes));
		EXPECT_FALSE(decodeOrigin(bytes));
		EXPECT_FALSE(decodeSlot(bytes));
		EXPECT_FALSE(decodeBrittle(bytes));
		EXPECT_FALSE(decodeQuota(bytes));
		EXPECT_FALSE(decodeGossip(bytes));
	}
}

TEST(SpeedCodec, otherKindsAreNotTaken)
{
	for (unsigned kind = 0; kind < 256; ++kind)
	{
		EXPECT_EQ(isSpeedDatagram(headOfKind(kind)), kind == kKind) << kind;
	}
	EXPECT_FALSE(decodeSpeeds(encodeBrittle({})));
	EXPECT_FALSE(decodeSpeeds(encodeLimits({})));
	EXPECT_FALSE(isSpeedDatagram(""));
	EXPECT_FALSE(isSpeedDatagram("\x93\x07"));
}

// Each level of nesting takes stack, so that the largest datagram of nested lists could end the gateway.
TEST(SpeedCodec, deeplyNestedListsAreRefused)
{
	for (const std::size_t length : {100u, 4000u, 60u << 10})
	{
		EXPECT_FALSE(decodeSpeeds(headOfKind(kKind) + std::string(length, '\x91'))) << length;
		EXPECT_FALSE(decodeSpeeds(headOfKind(kKind) + std::string(length, '\x81'))) << length;
	}
}

// A stated length of 4 GB must not be reserved before the bytes are there.
TEST(SpeedCodec, statedLengthsBeyondTheDatagramAreRefused)
{
	for (const char* head :
		 {"\xC6\xFF\xFF\xFF\xFF", "\xDD\xFF\xFF\xFF\xFF", "\xDF\xFF\xFF\xFF\xFF", "\xDB\xFF\xFF\xFF\xFF"})
	{
		EXPECT_FALSE(decodeSpeeds(headOfKind(kKind) + head + "abc"));
	}
}

RC_GTEST_PROP(SpeedCodecProperty, anyBytesAreReadOrIgnored, (const std::string& _bytes))
{
	decodeSpeeds(_bytes);
	decodeSpeeds(headOfKind(kKind) + _bytes);
}

RC_GTEST_PROP(SpeedCodecProperty, anyEntriesAreReadAsBoundedNumbers, (const std::vector<std::uint8_t>& _entries))
{
	const auto read = decodeSpeeds(withEntries(Json::binary_t(_entries)));
	for (const SpeedReport& report : read.value_or(std::vector<SpeedReport>()))
	{
		RC_ASSERT(report.slowdown > 0.0 && report.slowdown < 656.0);
	}
}

RC_GTEST_PROP(SpeedCodecProperty, changedByteIsReadOrIgnored, (std::uint8_t _at, std::uint8_t _byte))
{
	std::string bytes = encodeSpeeds(reports(40));
	bytes[_at % bytes.size()] = static_cast<char>(_byte);
	decodeSpeeds(bytes);
}

RC_GTEST_PROP(SpeedCodecProperty, hundredthsAreReadExactly, (std::uint32_t _key))
{
	SpeedReport report;
	report.key.value = _key;
	const auto hundredths = *rc::gen::inRange(25, 401);
	report.slowdown = hundredths / 100.0;
	const auto read = decodeSpeeds(encodeSpeeds({report})).value();
	RC_ASSERT(read.size() == 1u);
	RC_ASSERT(read.front().key == report.key);
	RC_ASSERT(std::lround(read.front().slowdown * 100) == hundredths);
}

} // namespace beacongate::test
