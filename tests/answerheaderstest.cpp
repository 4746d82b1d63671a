// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of the headers by which a backend server states its backoff, load and departure in its answers.

#include "platform/headers.h"
#include "platform/names.h"
#include "protocol/retryafter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

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

AnswerInfo readLoad(const std::string& _value)
{
	return read(200, {{platform::kLoad, _value}});
}

void expectLoad(const std::string& _value, const ServerLoad& _expected)
{
	const AnswerInfo info = readLoad(_value);
	EXPECT_FALSE(info.loadUnreadable) << _value;
	ASSERT_TRUE(info.load) << _value;
	EXPECT_EQ(info.load->running, _expected.running) << _value;
	EXPECT_EQ(info.load->waiting, _expected.waiting) << _value;
	EXPECT_EQ(info.load->slots, _expected.slots) << _value;
	EXPECT_EQ(info.load->slowdown, _expected.slowdown) << _value;
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

TEST(AnswerHeaders, loadOfThreeFiguresHasNoSlowdown)
{
	expectLoad("3,0,8", {3, 0, 8, std::nullopt});
	expectLoad("0,0,0", {0, 0, 0, std::nullopt});
	expectLoad("1000000,1000000,1000000", {1'000'000, 1'000'000, 1'000'000, std::nullopt});
}

TEST(AnswerHeaders, fourthFigureOfTheLoadIsTheSlowdown)
{
	expectLoad("3,2,8,60", {3, 2, 8, 0.6});
	expectLoad("3,0,8,100", {3, 0, 8, 1.0});
	expectLoad("3,0,8,1", {3, 0, 8, 0.01});
	expectLoad("3,0,8,10000", {3, 0, 8, 100.0});
}

// Blanks beside the commas are allowed in a list of HTTP.
TEST(AnswerHeaders, blanksInTheLoadAreIgnored)
{
	for (const char* value : {"3, 0, 8, 60", " 3,0,8,60 ", "3 ,0 ,8 ,60", "3\t,\t0,8,  60"})
	{
		expectLoad(value, {3, 0, 8, 0.6});
	}
	expectLoad(" 3 , 0 , 8 ", {3, 0, 8, std::nullopt});
}

TEST(AnswerHeaders, loadIsReadFromAnyAnswer)
{
	for (const unsigned status : {200u, 404u, 500u, 503u})
	{
		EXPECT_TRUE(read(status, {{"x-beacongate-instance-load", "3,0,8"}}).load) << status;
	}
	EXPECT_FALSE(read(200, {}).load);
	EXPECT_FALSE(read(200, {}).loadUnreadable);
}

// A value that is partly read would give a server a speed or a number of slots that it did not state.
TEST(AnswerHeaders, loadThatIsNoListOfFiguresIsIgnoredAndReported)
{
	for (const char* value : {"",
							  " ",
							  ",",
							  ",,",
							  "3",
							  "3,0",
							  "3,0,",
							  "3,0,8,",
							  "3,0,8, ",
							  "3,0,8,100,",
							  "3,0,8,100,5",
							  "3,0,8,,100",
							  ",3,0,8",
							  "3,,8",
							  "-3,0,8",
							  "3,-1,8",
							  "3,0,-8",
							  "3,0,8,-60",
							  "+3,0,8",
							  "3,0,8,+60",
							  "three,0,8",
							  "3,0,8,slow",
							  "3,0,8x",
							  "3;0;8",
							  "3 0 8",
							  "3,0 1,8",
							  "3,0,8,60%",
							  "3,0,8,0.6",
							  "3.0,0,8",
							  "1e3,0,8",
							  "0x3,0,8",
							  "nan,0,8",
							  "3,0,8,0",
							  "3,0,8,10001",
							  "1000001,0,8",
							  "3,1000001,8",
							  "3,0,1000001",
							  "12345678901234567890,0,8",
							  "3,0,12345678901234567890",
							  "3,0,8,12345678901234567890",
							  "3,0,4294967304",
							  "3,0,8,4294967396"})
	{
		const AnswerInfo info = readLoad(value);
		EXPECT_FALSE(info.load) << value;
		EXPECT_TRUE(info.loadUnreadable) << value;
	}
}

// Repeated headers are one list by RFC 9110, which has too many figures, and neither of the two loads is known to
// be the right one.
TEST(AnswerHeaders, repeatedLoadIsIgnoredAndReported)
{
	for (const char* second : {"3,0,8", "1,0,8,60", "100", ""})
	{
		const AnswerInfo info = read(200, {{platform::kLoad, "3,0,8"}, {platform::kLoad, second}});
		EXPECT_FALSE(info.load) << second;
		EXPECT_TRUE(info.loadUnreadable) << second;
	}
}

RC_GTEST_PROP(AnswerHeaders, loadIsReadExactlyOrNotAtAll, ())
{
	const auto length = *rc::gen::inRange<std::size_t>(1, 6);
	const auto figures = *rc::gen::container<std::vector<unsigned>>(length, rc::gen::inRange(0u, 12'000u));
	std::string text;
	for (const unsigned figure : figures)
	{
		text += (text.empty() ? "" : ",") + std::to_string(figure);
	}
	const AnswerInfo info = readLoad(text);
	const std::size_t count = figures.size();
	const bool valid = count == 3 || (count == 4 && figures[3] > 0 && figures[3] <= 10'000);
	RC_ASSERT(info.load.has_value() == valid);
	RC_ASSERT(info.loadUnreadable == !valid);
	if (valid)
	{
		RC_ASSERT(info.load->running == figures[0]);
		RC_ASSERT(info.load->waiting == figures[1]);
		RC_ASSERT(info.load->slots == figures[2]);
		RC_ASSERT(info.load->slowdown == (count == 4 ? std::optional<double>(figures[3] / 100.0) : std::nullopt));
	}
}

RC_GTEST_PROP(AnswerHeaders, anyTextIsALoadOrReported, (const std::string& text))
{
	const AnswerInfo info = readLoad(text);
	RC_ASSERT(info.load.has_value() != info.loadUnreadable);
	if (info.load && info.load->slowdown)
	{
		RC_ASSERT(*info.load->slowdown > 0.0);
		RC_ASSERT(*info.load->slowdown <= 100.0);
	}
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
