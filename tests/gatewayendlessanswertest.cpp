// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against bytes without end from a backend server, in a head or a body, that are no answer: against the
/// memory and the time that they take, and against callers without an answer.

#include "gatewayfixture.h"
#include "rawbackend.h"
#include "transport/messageparser.h"

namespace beacongate::test
{
namespace
{
constexpr unsigned kEndless = 3; ///< Number of the backend server that sends without end.
/// Bytes of one answer that a gateway reads at most, and what the system buffers on the way.
constexpr std::uint64_t kMaxBytes = 16u << 20;
/// Time within which a caller has an answer, far below the 5 s of its deadline.
constexpr Micros kAnswerTime = 2 * kSecond;
constexpr std::size_t kLimit = 16u << 10;

std::string filler(const std::string& _text)
{
	std::string bytes;
	while (bytes.size() < kLimit)
	{
		bytes += _text;
	}
	return bytes;
}

/// @returns the fault after many bytes of one kind.
ParseFault faultOf(MessageKind _kind, const std::string& _begin, const std::string& _repeat)
{
	MessageParser parser(_kind, kLimit, 1u << 30);
	std::string input = _begin;
	std::string body;
	for (unsigned round = 0; round < 64 && parser.fault() == ParseFault::None; ++round)
	{
		input += _repeat;
		input.erase(0, parser.consume(input, body));
		EXPECT_LE(input.size(), 4 * kLimit);
	}
	return parser.fault();
}
} // namespace

TEST(EndlessMessage, framingWithoutEndIsAFault)
{
	const std::string answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
	const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
	EXPECT_NE(faultOf(MessageKind::Answer, answer + "5;", filler("x")), ParseFault::None);
	EXPECT_NE(faultOf(MessageKind::Answer, answer + "0\r\n", filler("A: b\r\n")), ParseFault::None);
	EXPECT_NE(faultOf(MessageKind::Request, request + "5;", filler("x")), ParseFault::None);
	EXPECT_NE(faultOf(MessageKind::Request, request + "0\r\n", filler("A: b\r\n")), ParseFault::None);
	EXPECT_NE(faultOf(MessageKind::Answer, "HTTP/1.1 200 OK\r\n", filler("A: b\r\n")), ParseFault::None);
	EXPECT_NE(faultOf(MessageKind::Answer, "", filler("x")), ParseFault::None);
}

/// One gateway, two sound backend servers, and one that answers as a test says.
class GatewayEndlessAnswerTest : public GatewayTest
{
protected:
	void startWith(RawBackend::Answer _answer)
	{
		const Address address{host(100 + kEndless), kWorkerPort};
		endless = std::make_unique<RawBackend>(address, std::move(_answer));
		ASSERT_TRUE(endless->listening);
		store->put("servers/" + workerId(kEndless), standin::formatRecord(address, 4, "ready"));
		startGateway(settings(1));
	}

	/// Sends as many requests at once as the servers have slots, and checks that all callers are answered.
	void expectAnswers(const std::string& _path)
	{
		constexpr unsigned kRequests = 12;
		std::atomic<unsigned> served = 0;
		const Micros sent = monotonicNow();
		std::vector<std::thread> threads;
		for (unsigned number = 0; number < kRequests; ++number)
		{
			threads.emplace_back(
				[&, number]
				{ served += statusOf(call("GET", _path, "a" + std::to_string(number))) == 200 ? 1 : 0; });
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
		EXPECT_LT(monotonicNow() - sent, kAnswerTime);
		EXPECT_GT(endless->requests, 0u);
		EXPECT_EQ(served, kRequests) << "a second server answers";
		EXPECT_TRUE(await([&] { return endless->open == 0; }, kAnswerTime)) << "the connections are closed";
		EXPECT_LE(endless->sentBytes, endless->requests * kMaxBytes);
	}

	std::unique_ptr<RawBackend> endless;
};

TEST_F(GatewayEndlessAnswerTest, headThatIsNoHead)
{
	startWith([](const std::string&) { return RawBackend::Script{"", filler("no answer ")}; });
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, headersWithoutEnd)
{
	startWith([](const std::string&) { return RawBackend::Script{"HTTP/1.1 200 OK\r\n", filler("A: b\r\n")}; });
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, interimAnswersWithoutEnd)
{
	startWith([](const std::string&) { return RawBackend::Script{"", filler("HTTP/1.1 100 Continue\r\n\r\n")}; });
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, bodyWithoutLength)
{
	startWith(
		[](const std::string& _request) {
			return RawBackend::Script{RawBackend::head(_request, "200 OK", ""), filler("no answer ")};
		});
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, bodyOfARejectionWithoutLength)
{
	startWith(
		[](const std::string& _request)
		{
			return RawBackend::Script{
				RawBackend::head(_request, "503 X", std::string(platform::kNotExecuted) + ": 1\r\n"), filler("x")};
		});
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, chunkExtensionWithoutEnd)
{
	startWith(
		[](const std::string& _request)
		{
			return RawBackend::Script{RawBackend::head(_request, "200 OK", "Transfer-Encoding: chunked\r\n") + "5;",
									  filler("x")};
		});
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, trailersWithoutEnd)
{
	startWith(
		[](const std::string& _request)
		{
			return RawBackend::Script{RawBackend::head(_request, "200 OK", "Transfer-Encoding: chunked\r\n") +
										  "0\r\n",
									  filler("A: b\r\n")};
		});
	expectAnswers("/safe/");
}

TEST_F(GatewayEndlessAnswerTest, streamThatIsNoEvent)
{
	startWith(
		[](const std::string& _request)
		{
			return RawBackend::Script{RawBackend::head(_request, "200 OK", "Content-Type: text/event-stream\r\n"),
									  filler("no event ")};
		});
	expectAnswers("/stream/again/");
}

TEST_F(GatewayEndlessAnswerTest, streamThatGoesOnAtAServerWithAnotherAnswerEnds)
{
	// The first server breaks the stream off, and the others answer its continuation with 404.
	const auto notFound = [](const std::string& _request)
	{
		return RawBackend::Script{RawBackend::head(_request, "404 X", "Content-Length: 0\r\n"), ""};
	};
	startWith(notFound);
	store->remove("servers/" + workerId(2));
	setFaults(WorkerFault::CutsStream);
	std::this_thread::sleep_for(std::chrono::seconds(3));
	unsigned continued = 0;
	for (unsigned number = 0; number < 12; ++number)
	{
		const unsigned before = endless->requests;
		Caller caller({host(1), kCallerPort});
		caller.sendBytes(request("GET", "/stream/again/", "s" + std::to_string(number),
								 std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n"));
		const std::string answer = caller.receiveUntil("", kAnswerTime);
		EXPECT_TRUE(caller.ended) << number;
		EXPECT_FALSE(statusOf(answer) == 200 && answer.ends_with("\r\n0\r\n\r\n")) << number;
		continued += statusOf(answer) == 200 && endless->requests > before ? 1 : 0;
	}
	EXPECT_GT(continued, 0u) << "no stream went on at the other server";
}

} // namespace beacongate::test
