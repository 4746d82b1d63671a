// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a request that crashes its backend servers being sent to one after the other.

#include "gatewayfixture.h"

#include <algorithm>
#include <thread>

namespace beacongate::test
{
namespace
{
/// From the third crash on, the gateways have this long to stop a request.
constexpr Micros kContactSpan = 3 * kSecond;
/// Times that a request may be sent later than that, over all gateways.
constexpr unsigned kMaxLateSends = 3;
constexpr unsigned kServers = 4;
constexpr Micros kDowntime = kSecond;
constexpr Micros kCallTime = 60 * kMillisecond;
/// The platform's own test route allows 400 ms; a refusal must leave most of it.
constexpr Micros kMaxRefusalTime = 100 * kMillisecond;
const std::string kCrashingBody = "crash";
} // namespace

/// Two gateways and four backend servers that one request crashes.
class GatewayCrashTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		for (unsigned number = 1; number <= kServers; ++number)
		{
			setCrashRule(number, {kCrashingBody});
		}
		for (unsigned number : {1u, 2u})
		{
			startGateway(settings(number));
			ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first", "key", number)) == 200; }));
		}
	}

	void setCrashRule(unsigned _number, const std::vector<std::string>& _bodies)
	{
		standin::WorkerCrashRule rule;
		rule.bodies = _bodies;
		rule.downtime = kDowntime;
		rule.onRestart = [this, _number]
		{
			registerWorker(_number, "ready", standin::kFirstStartTimeMs + ++restarts);
		};
		workers[_number - 1]->setCrashRule(rule);
		workers[_number - 1]->setCallTime(kCallTime);
	}

	/// Sends a request with a body and receives the whole answer.
	std::string send(const std::string& _body, const std::string& _id, unsigned _gateway,
					 const std::string& _path = "/safe/")
	{
		Caller caller({host(_gateway), kCallerPort});
		// No key is accepted while the store is down; the open route needs none.
		const std::string key = _path == "/open/" ? "" : std::string(platform::kApiKey) + ": key\r\n";
		caller.sendBytes(request("POST", _path, _id, key + "Connection: close\r\n", _body));
		return caller.receiveUntil("");
	}

	/// Sends the crashing request for a while, to both gateways in turn.
	void sendCrashing(Micros _span, const std::string& _name)
	{
		const Micros end = monotonicNow() + _span;
		for (unsigned number = 0; monotonicNow() < end; ++number)
		{
			lastAnswer = send(kCrashingBody, _name + std::to_string(number), 1 + number % 2);
			std::this_thread::sleep_for(std::chrono::milliseconds(100));
		}
	}

	/// Sends the crashing request to one gateway until it is refused for good.
	void sendUntilBlocked(unsigned _gateway, const std::string& _path = "/safe/")
	{
		unsigned number = 0;
		ASSERT_TRUE(await(
			[&]
			{
				lastAnswer = send(kCrashingBody, "block" + std::to_string(++number), _gateway, _path);
				return statusOf(lastAnswer) == 400;
			}))
			<< lastAnswer;
	}

	/// Sends the crashing request until both gateways refuse it.
	void block(const std::string& _path = "/safe/")
	{
		sendUntilBlocked(1, _path);
		sendUntilBlocked(2, _path);
	}

	void clearCrashRules()
	{
		for (unsigned number = 1; number <= kServers; ++number)
		{
			setCrashRule(number, {});
		}
		ASSERT_TRUE(await([&] { return statusOf(send("alive", "alive", 1)) == 200; }));
	}

	unsigned runsOfBody(const std::string& _body)
	{
		unsigned count = 0;
		for (const auto& worker : workers)
		{
			for (const standin::WorkerRun& run : worker->runs())
			{
				count += run.body == _body ? 1 : 0;
			}
		}
		return count;
	}

	/// Calls a path of the control address of the first gateway.
	std::string controlCall(const std::string& _method, const std::string& _path)
	{
		Caller caller({host(1), kControlPort});
		caller.sendBytes(_method + ' ' + _path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		return caller.receiveUntil("");
	}

	std::vector<Micros> crashTimes()
	{
		std::vector<Micros> times;
		for (const auto& worker : workers)
		{
			for (const standin::WorkerCrash& crash : worker->crashes())
			{
				times.push_back(crash.at);
			}
		}
		std::sort(times.begin(), times.end());
		return times;
	}

	/// @returns the times at which servers began to run the crashing request after a moment.
	unsigned crashingRunsAfter(Micros _moment)
	{
		unsigned count = 0;
		for (const auto& worker : workers)
		{
			for (const standin::WorkerRun& run : worker->runs())
			{
				count += run.body == kCrashingBody && run.began > _moment ? 1 : 0;
			}
		}
		return count;
	}

	std::string lastAnswer;
	std::atomic<unsigned> restarts = 0;
};

TEST_F(GatewayCrashTest, requestThatCrashedThreeServersIsNotSentAgain)
{
	sendCrashing(9 * kSecond, "a");
	const std::vector<Micros> times = crashTimes();
	ASSERT_GE(times.size(), 3u);
	EXPECT_LE(crashingRunsAfter(times[2] + kContactSpan), kMaxLateSends) << times.size() << " crashes in all";
}

TEST_F(GatewayCrashTest, blockedRequestIsRefusedAtOnceForGood)
{
	block();
	const std::size_t crashes = crashTimes().size();
	const Micros sent = monotonicNow();
	const std::string answer = send(kCrashingBody, "c", 2);
	EXPECT_LT(monotonicNow() - sent, kMaxRefusalTime);
	EXPECT_EQ(statusOf(answer), 400u) << answer;
	EXPECT_TRUE(has(answer, "beacongate:request-crashes-servers")) << answer;
	EXPECT_FALSE(has(answer, "Retry-After")) << answer;
	EXPECT_EQ(crashTimes().size(), crashes);
}

TEST_F(GatewayCrashTest, sameContentOfAnotherTeamOrPathIsNotBlocked)
{
	block();
	clearCrashRules();
	EXPECT_EQ(statusOf(send(kCrashingBody, "d", 1, "/unsafe/")), 200u);
	EXPECT_EQ(statusOf(send(kCrashingBody, "d2", 1, "/open/")), 200u);
}

TEST_F(GatewayCrashTest, gatewayThatStartsLaterDoesNotSendABlockedRequest)
{
	block();
	startGateway(settings(3));
	const std::size_t crashes = crashTimes().size();
	EXPECT_TRUE(await([&] { return statusOf(send(kCrashingBody, "e", 3)) == 400; }, kContactSpan));
	EXPECT_LE(crashTimes().size(), crashes + kMaxLateSends);
}

TEST_F(GatewayCrashTest, requestIsBlockedEverywhereWhileTheStoreIsDown)
{
	store->setFault(StoreFault::Silent);
	block("/open/");
	EXPECT_EQ(statusOf(send(kCrashingBody, "f", 2, "/open/")), 400u);
}

TEST_F(GatewayCrashTest, gatewayThatStoodStillLearnsOfABlockedRequest)
{
	gateways[1]->stall(2 * kSecond);
	sendUntilBlocked(1);
	EXPECT_TRUE(await([&] { return statusOf(send(kCrashingBody, "g", 2)) == 400; }, kContactSpan));
	EXPECT_LE(crashTimes().size(), 4u);
}

TEST_F(GatewayCrashTest, requestThatRanDuringOtherCrashesIsServed)
{
	// Servers that crash by themselves while a request runs there are not its fault.
	for (unsigned number = 1; number <= kServers; ++number)
	{
		setCrashRule(number, {});
	}
	workers[0]->setCallTime(kSecond);
	workers[1]->setCallTime(kSecond);
	workers[2]->setCallTime(kSecond);
	workers[3]->setCallTime(kSecond);
	for (unsigned round = 0; round < 2; ++round)
	{
		std::thread caller([&] { send("slow", "h" + std::to_string(round), 1, "/unsafe/"); });
		ASSERT_TRUE(await([&] { return runsOfBody("slow") > round; }));
		for (auto& worker : workers)
		{
			worker->crashNow();
		}
		caller.join();
		ASSERT_TRUE(await([&] { return statusOf(send("check" + std::to_string(round), "h", 1)) == 200; }));
	}
	EXPECT_EQ(statusOf(send("slow", "h3", 2, "/unsafe/")), 200u);
}

TEST_F(GatewayCrashTest, resetConnectionIsNoCrash)
{
	clearCrashRules();
	for (auto& worker : workers)
	{
		worker->setFault(WorkerFault::Resets);
	}
	for (unsigned number = 0; number < 6; ++number)
	{
		EXPECT_EQ(statusOf(send("reset", "i" + std::to_string(number), 1)), 502u);
	}
	for (auto& worker : workers)
	{
		worker->setFault(WorkerFault::None);
	}
	EXPECT_EQ(statusOf(send("reset", "i", 1)), 200u);
}

TEST_F(GatewayCrashTest, operatorReleasesABlockedRequestAtAllGateways)
{
	block();
	clearCrashRules();
	const std::string path =
		"/crashes/" + toString(fingerprintOf({"t", "h.example", "POST", "/safe/", kCrashingBody}));
	EXPECT_EQ(statusOf(controlCall("DELETE", path)), 200u) << path;
	EXPECT_EQ(statusOf(controlCall("DELETE", path)), 404u);
	EXPECT_EQ(statusOf(controlCall("DELETE", "/crashes/nothing")), 400u);
	EXPECT_TRUE(await([&] { return statusOf(send(kCrashingBody, "j", 2)) == 200; }, kContactSpan));
}

TEST_F(GatewayCrashTest, otherRequestsAreServedBesideOneThatCrashesServers)
{
	constexpr double kServedShare = 0.9;
	std::atomic<bool> running = true;
	std::atomic<unsigned> sent = 0;
	std::atomic<unsigned> served = 0;
	std::vector<std::thread> callers;
	for (unsigned caller = 0; caller < 4; ++caller)
	{
		callers.emplace_back(
			[&, caller]
			{
				for (unsigned number = 0; running; ++number)
				{
					const std::string name = "o" + std::to_string(caller) + "-" + std::to_string(number);
					served += statusOf(send(name, name, 1 + caller % 2)) == 200 ? 1 : 0;
					++sent;
					std::this_thread::sleep_for(std::chrono::milliseconds(20));
				}
			});
	}
	sendCrashing(8 * kSecond, "b");
	running = false;
	for (std::thread& caller : callers)
	{
		caller.join();
	}
	EXPECT_GE(served, kServedShare * sent) << served << " of " << sent << ", " << crashTimes().size() << " crashes";
}

} // namespace beacongate::test
