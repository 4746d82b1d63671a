// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against broken answers of a backend server that reach callers as answers.

#include "gatewayfixture.h"
#include "rawbackend.h"

#include <functional>
#include <map>

namespace beacongate::test
{
namespace
{
constexpr unsigned kBroken = 9; ///< Number of the backend server that sends broken answers.
constexpr unsigned kBadGateway = 502;
constexpr unsigned kCalls = 12;
constexpr unsigned kMaxRounds = 20;

RawBackend::Answer withStatus(const std::string& _status)
{
	return [_status](const std::string& _request)
	{
		return RawBackend::Script{RawBackend::head(_request, _status + " X", "Content-Length: 6\r\n") + "broken"};
	};
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

} // namespace beacongate::test
