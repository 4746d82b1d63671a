// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of the headers by which a backend server states its backoff and departure in its answers.

#include "platform/headers.h"
#include "platform/names.h"
#include "protocol/retryafter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

namespace beacongate::test
{
namespace
{
AnswerInfo read(unsigned _status, HttpHeaders _headers)
{
	MessageHead head;
	head.status = _status;
	head.headers = std::move(_headers);
	return platform::readAnswer(head);
}

AnswerInfo readRetryAfter(unsigned _status, const std::string& _value)
{
	return read(_status, {{platform::kRetryAfter, _value}});
}
} // namespace

TEST(AnswerHeaders, secondsAndFractionsAreRead)
{
	EXPECT_EQ(readRetryAfter(503, "3").backoff, 3 * kSecond);
	EXPECT_EQ(readRetryAfter(503, " 0.25 ").backoff, 250 * kMillisecond);
	EXPECT_EQ(readRetryAfter(429, "1.5").backoff, 1500 * kMillisecond);
	EXPECT_EQ(readRetryAfter(503, "0").backoff, 0);
}

TEST(AnswerHeaders, invalidValuesAreIgnoredAndReported)
{
	for (const char* value : {"", "soon", "-1", "-0.1", "nan", "inf", "-inf", "3 s", "3;4", "1,2", "0x10", "1e3",
							  "Wed, 21 Oct 2026 07:28:00 GMT"})
	{
		const AnswerInfo info = readRetryAfter(503, value);
		EXPECT_FALSE(info.backoff) << value;
		EXPECT_TRUE(info.backoffUnreadable) << value;
	}
}

TEST(AnswerHeaders, hugeValueIsBounded)
{
	EXPECT_EQ(readRetryAfter(503, "99999999999999999999").backoff, kMaxRetryAfter);
}

TEST(AnswerHeaders, longestOfSeveralValuesIsUsed)
{
	const AnswerInfo info = read(503, {{"retry-after", "2"}, {"Retry-After", "later"}, {"Retry-After", "5"}});
	EXPECT_EQ(info.backoff, 5 * kSecond);
	EXPECT_TRUE(info.backoffUnreadable);
}

TEST(AnswerHeaders, onlyRejectionsSetABackoff)
{
	for (const unsigned status : {200u, 301u, 421u, 500u, 502u})
	{
		EXPECT_FALSE(readRetryAfter(status, "3").backoff) << status;
	}
	EXPECT_FALSE(read(503, {}).backoff);
}

TEST(AnswerHeaders, limitIsReadFromAnyAnswer)
{
	for (const unsigned status : {200u, 404u, 500u, 503u})
	{
		EXPECT_EQ(read(status, {{"server-limit", "2.5"}}).limit, 2.5);
	}
	EXPECT_EQ(read(200, {{platform::kLimit, "0"}}).limit, 0.0);
	EXPECT_EQ(read(200, {{platform::kLimit, "3"}, {platform::kLimit, "2"}}).limit, 2.0);
	EXPECT_FALSE(read(200, {}).limit);
	EXPECT_FALSE(read(200, {}).limitUnreadable);
}

TEST(AnswerHeaders, limitThatIsNoNumberIsIgnoredAndReported)
{
	for (const char* value : {"", "soon", "-1", "nan", "inf", "3 s", "1,2", "0x10", "1e3"})
	{
		const AnswerInfo info = read(200, {{platform::kLimit, value}});
		EXPECT_FALSE(info.limit) << value;
		EXPECT_TRUE(info.limitUnreadable) << value;
	}
}

TEST(AnswerHeaders, brittlenessIsReadFromAnyAnswer)
{
	for (const unsigned status : {200u, 404u, 500u, 503u})
	{
		EXPECT_EQ(read(status, {{"server-brittle", "4"}}).bearableRejections, 4.0);
	}
	EXPECT_FALSE(read(200, {}).bearableRejections);
	EXPECT_FALSE(read(200, {{platform::kBrittle, "very"}}).bearableRejections);
	EXPECT_TRUE(read(200, {{platform::kBrittle, "very"}}).brittlenessUnreadable);
}

TEST(AnswerHeaders, contentEncodingIsReported)
{
	EXPECT_TRUE(read(200, {{"content-encoding", "gzip"}}).encoded);
	EXPECT_FALSE(read(200, {{"Content-Encoding", "identity"}}).encoded);
	EXPECT_FALSE(read(200, {}).encoded);
}

TEST(AnswerHeaders, leavingHeaderIsReadFromAnyAnswer)
{
	EXPECT_TRUE(read(200, {{"Server-Leaving", "1"}}).leaving);
	EXPECT_TRUE(read(503, {{"server-leaving", "1"}}).leaving);
	EXPECT_FALSE(read(200, {{"Server-Leaving", "0"}}).leaving);
	EXPECT_FALSE(read(200, {}).leaving);
}

RC_GTEST_PROP(AnswerHeaders, anyTextGivesABoundedValueOrNone, (const std::string& text))
{
	const auto span = parseRetryAfter(text);
	RC_ASSERT(!span || (*span >= 0 && *span <= kMaxRetryAfter));
}

RC_GTEST_PROP(AnswerHeaders, wholeSecondsAreReadExactly, (std::uint16_t seconds))
{
	RC_ASSERT(parseRetryAfter(std::to_string(seconds)) == seconds * kSecond);
}

} // namespace beacongate::test
