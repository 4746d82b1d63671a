// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against broken answers of a backend server that reach callers as answers.

#include "partitionfixture.h"
#include "rawbackend.h"

#include <functional>
#include <map>

namespace beacongate::test
{
namespace
{
constexpr unsigned kBroken = 9; ///< Number of the backend server that sends broken answers.
/// Body of an upload, larger than what the system buffers on the way to a server that does not read it.
constexpr std::size_t kUploadBytes = 7u << 20;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kCalls = 12;
constexpr unsigned kMaxRounds = 20;
/// A body in one chunk that is a whole event, so that a stream would begin with it.
constexpr const char* kBrokenChunks = "14\r\nid: 1\ndata: broken\n\n\r\n0\r\n\r\n";
constexpr std::string_view kFieldName = "X-Part";
/// Blanks and control bytes.
constexpr std::string_view kInvalidNameBytes = {" \t\0\x01\n\r\x1b\x7f", 8};

RawBackend::Answer withStatus(const std::string& _status)
{
	return [_status](const std::string& _request)
	{
		return RawBackend::Script{RawBackend::head(_request, _status + " X", "Content-Length: 6\r\n") + "broken"};
	};
}

/// @returns a configuration that allows uploads.
std::string uploadConfig()
{
	standin::SiteConfig siteConfig;
	siteConfig.version = 2;
	siteConfig.host = "h.example";
	siteConfig.keys = {"key"};
	siteConfig.routes = {{"/safe/", "safe", 2},
						 {"/unsafe/", "unsafe", 1},
						 {"/stream/once/", "streaming", 1},
						 {"/stream/again/", "streaming", 2, true}};
	siteConfig.bodyBytes = kUploadBytes;
	siteConfig.headerTimeout = 2 * kSecond;
	return standin::formatConfig(siteConfig);
}

std::string uploadHeaders()
{
	return std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n";
}

std::string uploadBody()
{
	return std::string(kUploadBytes, 'x');
}

bool looksComplete(const std::string& _answer)
{
	return _answer.ends_with("\r\n0\r\n\r\n");
}
} // namespace

/// A gateway with a server that sends broken answers, alone or beside two sound ones.
class GatewayBrokenAnswerTest : public GatewayTest
{
protected:
	enum class Others
	{
		None,
		Sound,
	};

	void startWith(Others _others, RawBackend::Answer _answer)
	{
		for (unsigned number = 1; _others == Others::None && number <= workers.size(); ++number)
		{
			store->remove("servers/" + workerId(number));
		}
		const Address address{host(100 + kBroken), kWorkerPort};
		broken = std::make_unique<RawBackend>(address, std::move(_answer));
		ASSERT_TRUE(broken->listening);
		store->put("servers/" + workerId(kBroken), standin::formatRecord(address, 4, "ready"));
		startGateway(settings(1));
	}

	/// Sends as many requests at once as the servers have slots, until the broken server has got one.
	/// @param[in] send Sends a request, given its id, and returns the answer.
	/// @returns the answers by the ids of their requests.
	std::map<std::string, std::string>
	answersAtOnce(const std::function<std::string(const std::string& _id)>& _send)
	{
		std::map<std::string, std::string> answers;
		for (unsigned round = 0; round < kMaxRounds && broken->requests == 0; ++round)
		{
			std::vector<std::thread> threads;
			for (unsigned number = 0; number < kCalls; ++number)
			{
				const std::string id = "a" + std::to_string(round * kCalls + number);
				threads.emplace_back([&_send, id, &answer = answers[id]] { answer = _send(id); });
			}
			for (std::thread& thread : threads)
			{
				thread.join();
			}
		}
		EXPECT_GT(broken->requests, 0u);
		return answers;
	}

	/// Checks that requests that may be repeated are answered by the sound servers.
	void expectAnswersOfSoundServers(const std::function<std::string(const std::string& _id)>& _send)
	{
		for (const auto& [id, answer] : answersAtOnce(_send))
		{
			EXPECT_EQ(statusOf(answer), 200u) << answer;
			EXPECT_TRUE(answer.ends_with("\r\n\r\n" + standin::PlatformWorker::wholeCall(id))) << answer;
		}
	}

	/// Checks that a request that may run once gets an answer of the gateway.
	void expectBadGateway(const std::string& _path, const std::string& _what)
	{
		const unsigned before = broken->requests;
		const std::string answer = call("POST", _path, "b");
		EXPECT_EQ(statusOf(answer), kBadGateway) << _what << '\n' << answer;
		EXPECT_FALSE(has(answer, "broken")) << _what << '\n' << answer;
		EXPECT_EQ(broken->requests, before + 1) << _what;
	}

	std::unique_ptr<RawBackend> broken;
};

TEST_F(GatewayBrokenAnswerTest, answerWithAnInvalidStatusIsNotPassedOn)
{
	std::string status;
	startWith(Others::None, [&status](const std::string& _request) { return withStatus(status)(_request); });
	for (const char* const invalid : {"000", "001", "099", "600", "999"})
	{
		status = invalid;
		expectBadGateway("/unsafe/", invalid);
		expectBadGateway("/stream/once/", invalid);
	}
}

TEST_F(GatewayBrokenAnswerTest, rejectionWithAnInvalidStatusIsNoPromise)
{
	startWith(Others::None,
			  [](const std::string& _request)
			  {
				  return RawBackend::Script{RawBackend::head(
					  _request, "000 X", std::string(platform::kNotExecuted) + ": 1\r\nContent-Length: 0\r\n")};
			  });
	expectBadGateway("/unsafe/", "000");
}

TEST_F(GatewayBrokenAnswerTest, anotherServerAnswersInPlaceOfAnInvalidStatus)
{
	startWith(Others::Sound, withStatus("000"));
	expectAnswersOfSoundServers([this](const std::string& _id) { return call("GET", "/safe/", _id); });
}

TEST_F(GatewayBrokenAnswerTest, streamThatGoesOnAtAServerWithAnInvalidStatusDoesNotLookComplete)
{
	startWith(Others::Sound, withStatus("000"));
	setFaults(WorkerFault::CutsStream);
	for (const auto& [id, answer] :
		 answersAtOnce([this](const std::string& _id) { return call("GET", "/stream/again/", _id); }))
	{
		const std::string whole = standin::PlatformWorker::wholeStream(id);
		EXPECT_FALSE(has(answer, "broken")) << answer;
		EXPECT_FALSE(statusOf(answer) == 200 && looksComplete(answer) && eventsOf(answer) != whole) << answer;
	}
}

TEST_F(GatewayBrokenAnswerTest, answerWithAnInvalidFieldNameIsNotPassedOn)
{
	std::string line;
	startWith(Others::None,
			  [&line](const std::string& _request)
			  {
				  return RawBackend::Script{
					  RawBackend::head(_request, "200 OK", line + "\r\nTransfer-Encoding: chunked\r\n") +
					  kBrokenChunks};
			  });
	for (const char byte : kInvalidNameBytes)
	{
		for (const std::size_t at : {std::size_t(0), std::size_t(4), kFieldName.size()})
		{
			line = std::string(kFieldName).insert(at, 1, byte) + ": z";
			const std::string what = "byte " + std::to_string(byte) + " at " + std::to_string(at);
			expectBadGateway("/unsafe/", what);
			expectBadGateway("/stream/once/", what);
		}
	}
}

TEST_F(GatewayBrokenAnswerTest, lengthBehindABlankDoesNotChangeTheBody)
{
	std::string line;
	startWith(Others::None,
			  [&line](const std::string& _request)
			  {
				  return RawBackend::Script{RawBackend::head(_request, "200 OK", line + "\r\n") + "broken answer",
											{},
											RawBackend::Ending::FinishSending};
			  });
	for (const char* const invalid :
		 {" Content-Length: 6", "\tContent-Length: 6", "Content-Length : 6", "Content-Length\x01: 6",
		  " Transfer-Encoding: chunked", "Transfer-Encoding : chunked", "\rContent-Length: 6"})
	{
		line = invalid;
		expectBadGateway("/unsafe/", invalid);
	}
}

TEST_F(GatewayBrokenAnswerTest, bodyInAnUnknownTransferCodingIsNotPassedOn)
{
	std::string coding;
	startWith(Others::None,
			  [&coding](const std::string& _request)
			  {
				  return RawBackend::Script{
					  RawBackend::head(_request, "200 OK", "Transfer-Encoding: " + coding + "\r\n") + kBrokenChunks,
					  {},
					  RawBackend::Ending::FinishSending};
			  });
	for (const char* const unknown : {"gzip", "xchunked", "chunked, gzip", "gzip, chunked"})
	{
		coding = unknown;
		expectBadGateway("/unsafe/", unknown);
		expectBadGateway("/stream/once/", unknown);
	}
}

TEST_F(GatewayBrokenAnswerTest, anotherServerAnswersInPlaceOfAnInvalidFieldName)
{
	startWith(Others::Sound,
			  [](const std::string& _request)
			  {
				  return RawBackend::Script{
					  RawBackend::head(_request, "200 OK", " X-Part: z\r\nContent-Length: 6\r\n") + "broken"};
			  });
	expectAnswersOfSoundServers([this](const std::string& _id) { return call("GET", "/safe/", _id); });
}

TEST_F(GatewayBrokenAnswerTest, soundAnswersArePassedOnAsSent)
{
	const std::vector<std::pair<std::string, std::string>> framings = {
		{"Content-Length: 5\r\n", "whole"},
		{"Transfer-Encoding: chunked\r\n", "2\r\nwh\r\n3;a=b\r\nole\r\n0\r\nA: b\r\n\r\n"},
		{"Transfer-Encoding: identity\r\n", "whole"},
		{"", "whole"}};
	const std::string odd = "!#$%&'*+-.^_`|~: \x80\xff\tz\r\n";
	RawBackend::Answer answer;
	startWith(Others::None, [&answer](const std::string& _request) { return answer(_request); });
	for (const std::string interim : {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\nA: b\r\n\r\n"})
	{
		for (const std::string status : {"200 X", "299 X", "404 X", "499 X", "500 X", "599 X"})
		{
			for (const auto& [headers, body] : framings)
			{
				answer = [&, fields = headers + odd, end = body](const std::string& _request)
				{
					std::string bytes = interim;
					bytes += RawBackend::head(_request, status, fields);
					bytes += end;
					return RawBackend::Script{bytes, {}, RawBackend::Ending::FinishSending};
				};
				const std::string received = call("POST", "/unsafe/", "b");
				EXPECT_EQ(statusOf(received), std::stoul(status)) << headers << received;
				EXPECT_TRUE(received.ends_with("\r\n\r\nwhole")) << headers << received;
				EXPECT_TRUE(has(received, odd)) << headers << received;
			}
		}
	}
}

/// Uploads to a server that answers at once, without a length, and does not read them.
class GatewayResetUploadTest : public GatewayBrokenAnswerTest
{
protected:
	void SetUp() override
	{
		store->put(platform::kConfigKey, uploadConfig());
	}

	static RawBackend::Answer endsAfter(const std::string& _body, RawBackend::Ending _ending)
	{
		return [_body, _ending](const std::string& _request)
		{
			return RawBackend::Script{RawBackend::head(_request, "200 OK", "") + _body, {}, _ending};
		};
	}

	std::string upload(const std::string& _path, const std::string& _id)
	{
		Caller caller({host(1), kCallerPort});
		caller.sendBytes(request("POST", _path, _id, uploadHeaders(), uploadBody()));
		return caller.receiveUntil("");
	}
};

TEST_F(GatewayResetUploadTest, answerThatIsResetDuringTheUploadIsNotComplete)
{
	for (const RawBackend::Ending ending : {RawBackend::Ending::Reset, RawBackend::Ending::Close})
	{
		startWith(Others::None, endsAfter("broken", ending));
		for (unsigned number = 0; number < kCalls; ++number)
		{
			const std::string answer = upload("/unsafe/", "c" + std::to_string(number));
			EXPECT_EQ(statusOf(answer), kBadGateway) << answer;
			EXPECT_FALSE(has(answer, "broken")) << answer;
		}
		EXPECT_EQ(broken->requests, kCalls);
		gateways.clear();
		broken.reset();
	}
}

TEST_F(GatewayResetUploadTest, anotherServerAnswersInPlaceOfAResetOne)
{
	startWith(Others::Sound, endsAfter("broken", RawBackend::Ending::Reset));
	expectAnswersOfSoundServers([this](const std::string& _id) { return upload("/safe/", _id); });
}

TEST_F(GatewayResetUploadTest, streamThatIsResetDuringTheUploadDoesNotLookComplete)
{
	const std::string events = standin::PlatformWorker::wholeStream("e");
	const std::string part = events.substr(0, events.find("id: 3"));
	startWith(Others::None, endsAfter(part, RawBackend::Ending::Reset));
	const std::string answer = upload("/stream/once/", "e");
	EXPECT_FALSE(looksComplete(answer)) << answer;
	EXPECT_EQ(eventsOf(answer), part);
}

TEST_F(GatewayResetUploadTest, streamThatIsResetDuringTheUploadGoesOnAtAnotherServer)
{
	startWith(Others::Sound,
			  [](const std::string& _request)
			  {
				  const std::string events = standin::PlatformWorker::wholeStream(RawBackend::idOf(_request));
				  return RawBackend::Script{RawBackend::head(_request, "200 OK", "") +
												events.substr(0, events.find("id: 3")),
											{},
											RawBackend::Ending::Reset};
			  });
	for (const auto& [id, answer] :
		 answersAtOnce([this](const std::string& _id) { return upload("/stream/again/", _id); }))
	{
		EXPECT_EQ(eventsOf(answer), standin::PlatformWorker::wholeStream(id));
		EXPECT_TRUE(looksComplete(answer)) << answer;
	}
}

TEST_F(GatewayResetUploadTest, answerThatEndsInOrderDuringTheUploadIsComplete)
{
	startWith(Others::None, endsAfter("whole", RawBackend::Ending::FinishSending));
	const std::string answer = upload("/unsafe/", "g");
	EXPECT_EQ(statusOf(answer), 200u) << answer;
	EXPECT_TRUE(answer.ends_with("\r\n\r\nwhole")) << answer;
}

/// Uploads through a tunnel of another gateway.
class GatewayResetTunnelTest : public GatewayPartitionTest
{
};

TEST_F(GatewayResetTunnelTest, answerThatIsResetBehindATunnelDuringTheUploadIsNotComplete)
{
	const Address address{host(100 + kBroken), kWorkerPort};
	RawBackend broken(address,
					  [](const std::string& _request) {
						  return RawBackend::Script{
							  RawBackend::head(_request, "200 OK", "") + "broken", {}, RawBackend::Ending::Reset};
					  });
	ASSERT_TRUE(broken.listening);
	cut();
	for (const auto& each : {proxyStore.get(), store.get()})
	{
		each->put(platform::kConfigKey, uploadConfig());
		for (unsigned number = 1; number <= kServers; ++number)
		{
			each->remove("servers/" + workerId(number));
		}
		// The first gateway has no path to this address, as to the others.
		const Address seen = each == store.get() ? address : proxyOf(kBroken);
		each->put("servers/" + workerId(kBroken), standin::formatRecord(seen, 4, "ready"));
	}
	const auto upload = [this](const std::string& _id)
	{
		Caller caller({host(kPartitioned), kCallerPort});
		caller.sendBytes(request("POST", "/unsafe/", _id, uploadHeaders(), uploadBody()));
		return caller.receiveUntil("");
	};
	// The first ones are refused until both gateways have read the new list.
	ASSERT_TRUE(await(
		[&]
		{
			EXPECT_NE(statusOf(upload("h")), 200u);
			return broken.requests > 0;
		}));
	for (unsigned number = 0; number < kCalls; ++number)
	{
		const std::string answer = upload("h" + std::to_string(number));
		EXPECT_EQ(statusOf(answer), kBadGateway) << answer;
	}
	EXPECT_GE(broken.requests, kCalls);
}

} // namespace beacongate::test
