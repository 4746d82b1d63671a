// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against malformed heads of answers that are taken for answers.

#include "transport/messageparser.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kHeaderBytes = 16u << 10;
constexpr std::size_t kBodyBytes = 1u << 20;

struct Parsed
{
	MessageHead head;
	std::string body;
	ParseFault fault = ParseFault::None;
	bool done = false;
};

/// Parses an answer that arrives in parts of a size and ends with its connection.
Parsed parse(const std::string& _answer, std::size_t _step)
{
	MessageParser parser(MessageKind::Answer, kHeaderBytes, kBodyBytes);
	Parsed parsed;
	std::string input;
	for (std::size_t at = 0; at < _answer.size() && parser.fault() == ParseFault::None; at += _step)
	{
		input += _answer.substr(at, _step);
		input.erase(0, parser.consume(input, parsed.body));
	}
	parser.finishAtEnd();
	parsed.head = parser.head();
	parsed.fault = parser.fault();
	parsed.done = parser.done();
	return parsed;
}
} // namespace

TEST(AnswerHead, statusOutsideTheProtocolIsMalformed)
{
	for (unsigned status = 0; status < 1000; ++status)
	{
		char digits[4];
		std::snprintf(digits, sizeof digits, "%03u", status);
		const std::string answer = "HTTP/1.1 " + std::string(digits) + " X\r\nContent-Length: 0\r\n\r\n";
		const bool valid = status >= 100 && status < 600;
		for (const std::size_t step : {std::size_t(1), answer.size()})
		{
			const Parsed parsed = parse(answer, step);
			EXPECT_EQ(parsed.fault, valid ? ParseFault::None : ParseFault::Malformed) << digits;
			EXPECT_EQ(parsed.done, valid) << digits;
			EXPECT_EQ(parsed.head.status, valid ? status : 0) << digits;
		}
	}
}

} // namespace beacongate::test
