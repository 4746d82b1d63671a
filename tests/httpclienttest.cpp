// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against broken answers that the entry's client takes for answers.

#include "transport/httpclient.h"
#include "rawbackend.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr std::uint16_t kPort = 18107;
constexpr std::size_t kUploadBytes = 7u << 20;

/// A server that answers as a test says, and a client that calls it.
class HttpClientTest : public testing::Test
{
protected:
	HttpClientTest() : m_address{"127.78." + std::to_string(getpid() % 250) + ".1", kPort}
	{
	}

	/// Makes one call to a server with the given answer.
	/// @returns true if an answer arrived; otherwise m_fault holds the reason.
	bool call(const RawBackend::Script& _script, const std::string& _body = "", bool _incremental = false)
	{
		RawBackend server(m_address, [&_script](const std::string&) { return _script; });
		EXPECT_TRUE(server.listening);
		HttpCall httpCall;
		httpCall.address = m_address;
		httpCall.target = "/";
		httpCall.body = _body;
		httpCall.incremental = _incremental;
		httpCall.bodyLimit = _incremental ? 0 : 1u << 20;
		httpCall.timeout = 5 * kSecond;
		return callAndWait(httpCall, m_answer, m_fault);
	}

	void expectBroken(const RawBackend::Script& _script, const std::string& _body = "")
	{
		for (const bool incremental : {false, true})
		{
			EXPECT_FALSE(call(_script, _body, incremental)) << _script.begin << m_answer.body;
			EXPECT_EQ(m_fault, HttpFault::Broken) << _script.begin;
		}
	}

	Address m_address;
	HttpAnswer m_answer;
	HttpFault m_fault = HttpFault::NotSent;
};
} // namespace

TEST_F(HttpClientTest, wholeAnswersArrive)
{
	EXPECT_TRUE(call({"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nwhole"}));
	EXPECT_EQ(m_answer.status, 200u);
	EXPECT_EQ(findHeader(m_answer.headers, "A"), "b");
	EXPECT_EQ(m_answer.body, "whole");
	EXPECT_TRUE(call({"HTTP/1.1 404 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"}));
	EXPECT_EQ(m_answer.status, 404u);
	EXPECT_EQ(m_answer.body, "whole");
	EXPECT_TRUE(call({"HTTP/1.1 200 OK\r\n\r\nwhole", {}, RawBackend::Ending::FinishSending}));
	EXPECT_EQ(m_answer.body, "whole");
}

TEST_F(HttpClientTest, answersThatEndEarlyAreBroken)
{
	expectBroken({"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole"});
	expectBroken({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"});
	expectBroken({"HTTP/1.1 200 OK\r\nContent-Le"});
	expectBroken({"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(2u << 20) + "\r\n\r\nwhole"});
}

TEST_F(HttpClientTest, answersWithAnInvalidStatusAreBroken)
{
	for (const char* const status : {"000", "099", "600", "999"})
	{
		expectBroken({"HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 6\r\n\r\nbroken"});
	}
}

TEST_F(HttpClientTest, answersWithAnInvalidFieldNameAreBroken)
{
	for (const char* const line : {"X Y: z", "X : z", "X\x01: z", " X: z", "\tX: z", " Content-Length: 0"})
	{
		expectBroken({"HTTP/1.1 200 OK\r\nA: b\r\n" + std::string(line) + "\r\nContent-Length: 6\r\n\r\nbroken"});
	}
}

TEST_F(HttpClientTest, answerThatIsResetDuringTheUploadIsBroken)
{
	expectBroken({"HTTP/1.1 200 OK\r\n\r\nbroken", {}, RawBackend::Ending::Reset}, std::string(kUploadBytes, 'x'));
}

} // namespace beacongate::test
