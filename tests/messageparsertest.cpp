// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against malformed heads of answers that are taken for answers.

#include "transport/messageparser.h"

#include <gtest/gtest.h>

#include <cctype>
#include <cstdio>
#include <initializer_list>
#include <string_view>

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

std::string join(std::initializer_list<std::string_view> _parts)
{
	std::string text;
	for (const std::string_view part : _parts)
	{
		text += part;
	}
	return text;
}

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

/// @returns true if a byte may stand in the name of a field.
bool isTokenByte(char _byte)
{
	return std::isalnum(static_cast<unsigned char>(_byte)) != 0 ||
		   std::string_view("!#$%&'*+-.^_`|~").find(_byte) != std::string_view::npos;
}

/// Checks that an answer is malformed, whether it arrives at once or byte by byte.
void expectMalformed(const std::string& _answer)
{
	for (const std::size_t step : {std::size_t(1), _answer.size()})
	{
		const Parsed parsed = parse(_answer, step);
		EXPECT_EQ(parsed.fault, ParseFault::Malformed) << _answer;
		EXPECT_FALSE(parsed.done) << _answer;
		EXPECT_EQ(parsed.body, "") << _answer;
	}
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

TEST(AnswerHead, byteThatMayNotStandInAFieldNameIsMalformed)
{
	const std::string name = "X-Part";
	for (unsigned value = 0; value < 256; ++value)
	{
		const char byte = static_cast<char>(value);
		for (const std::size_t at : {std::size_t(0), std::size_t(2), name.size()})
		{
			const std::string line = std::string(name).insert(at, 1, byte) + ": z\r\n";
			const std::string rest = "Content-Length: 6\r\n\r\nbroken";
			const bool valid = isTokenByte(byte) || (byte == ':' && at > 0);
			for (const std::string& before : {std::string(), std::string("A: b\r\n"), std::string("A:\r\n")})
			{
				const std::string answer = join({"HTTP/1.1 200 OK\r\n", before, line, rest});
				if (!valid)
				{
					expectMalformed(answer);
					continue;
				}
				EXPECT_TRUE(parse(answer, answer.size()).done) << answer;
			}
		}
	}
}

TEST(AnswerHead, lineThatContinuesAFieldIsMalformed)
{
	const std::string body = "\r\n\r\nbroken";
	for (const std::string& blank : {std::string(" "), std::string("\t"), std::string("  \t ")})
	{
		expectMalformed(join({"HTTP/1.1 200 OK\r\nA: b\r\n", blank, "Content-Length: 6", body}));
		expectMalformed(join({"HTTP/1.1 200 OK\r\nA:\r\n", blank, "Content-Length: 6", body}));
		expectMalformed(join({"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n", blank, body}));
		expectMalformed(join({"HTTP/1.1 200 OK\r\nContent-Length:\r\n", blank, "6", body}));
		expectMalformed(join({"HTTP/1.1 200 OK\r\n", blank, "Content-Length: 6", body}));
	}
}

TEST(AnswerHead, transferCodingThatIsNotRemovedIsMalformed)
{
	const std::string begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding:";
	for (const char* const coding : {" gzip", " xchunked", " chunked, gzip", " gzip, chunked", " chunked, identity",
									 " chunked;a=b", "", " gzip\r\nTransfer-Encoding: chunked"})
	{
		expectMalformed(begin + coding + "\r\n\r\n6\r\nbroken\r\n0\r\n\r\n");
	}
	for (const char* const coding : {" chunked", " Chunked", "chunked \t"})
	{
		const std::string answer = begin + coding + "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
		EXPECT_TRUE(parse(answer, 1).done) << coding;
		EXPECT_EQ(parse(answer, 1).body, "whole") << coding;
	}
	EXPECT_EQ(parse(begin + " identity\r\n\r\nwhole", 1).body, "whole");
}

} // namespace beacongate::test
