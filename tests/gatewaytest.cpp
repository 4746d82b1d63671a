// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of what callers and backend servers of a whole gateway observe, request by request, under failures.

#include "gatewayfixture.h"

namespace beacongate::test
{
TEST_F(GatewayTest, requestAndAnswerAreForwardedUnchanged)
{
	startGateway(settings(1));
	Caller caller({host(1), kCallerPort});
	caller.sendBytes(
		request("POST", "/unsafe/a?b=%20c", "r1",
				std::string(platform::kApiKey) + ": key\r\n" + platform::kTenant + ": forged\r\nX-Kept: 1\r\n",
				"the body"));
	const std::string answer = caller.receiveUntil("\r\n\r\n" + standin::PlatformWorker::wholeCall("r1"));
	EXPECT_EQ(statusOf(answer), 200u) << answer;
	EXPECT_TRUE(has(answer, std::string(platform::kStamp) + ": w"));
	EXPECT_TRUE(has(answer, std::string(platform::kRequestId) + ": r1"));
	std::vector<standin::WorkerRun> runs = workers[0]->runs();
	const std::vector<standin::WorkerRun> others = workers[1]->runs();
	runs.insert(runs.end(), others.begin(), others.end());
	ASSERT_EQ(runs.size(), 1u);
	EXPECT_EQ(runs[0].method, "POST");
	EXPECT_EQ(runs[0].target, "/unsafe/a?b=%20c");
	EXPECT_EQ(runs[0].body, "the body");
	EXPECT_EQ(findHeader(runs[0].headers, platform::kTenant), "t");
	EXPECT_EQ(findHeader(runs[0].headers, platform::kApiKey), "");
	EXPECT_EQ(findHeader(runs[0].headers, "X-Kept"), "1");
	// The connection is kept open for another request.
	caller.sendBytes(request("GET", "/open/x", "r2"));
	EXPECT_EQ(statusOf(caller.receiveUntil("\r\n\r\n" + standin::PlatformWorker::wholeCall("r2"))), 200u);
}

TEST_F(GatewayTest, refusesRequestsThatTheConfigurationDoesNotAllow)
{
	startGateway(settings(1));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r1", "unknown")), 401u);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r2", "")), 401u);
	EXPECT_EQ(statusOf(call("GET", "/open/", "r3", "")), 200u);
	EXPECT_EQ(statusOf(call("GET", "/nowhere/", "r4")), 404u);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "")), 400u);
	EXPECT_EQ(runsOf("r1") + runsOf("r2") + runsOf("r4"), 0u);
}

TEST_F(GatewayTest, streamIsForwardedCompletely)
{
	startGateway(settings(1));
	const std::string answer = call("GET", "/stream/once/", "r1");
	EXPECT_EQ(statusOf(answer), 200u);
	for (unsigned event = 1; event <= standin::PlatformWorker::kEvents; ++event)
	{
		EXPECT_TRUE(has(answer, "id: " + std::to_string(event) + "\n"));
	}
	EXPECT_TRUE(has(answer, "\r\n0\r\n\r\n"));
}

TEST_F(GatewayTest, resumableStreamContinuesElsewhereWithoutLossOrRepetition)
{
	startGateway(settings(1));
	workers[0]->setFault(WorkerFault::CutsStream);
	for (const char* id : {"r1", "r2", "r3", "r4"})
	{
		const std::string answer = call("GET", "/stream/again/", id);
		EXPECT_EQ(statusOf(answer), 200u);
		for (unsigned event = 1; event <= standin::PlatformWorker::kEvents; ++event)
		{
			const std::string text = "id: " + std::to_string(event) + "\n";
			EXPECT_TRUE(has(answer, text)) << answer;
			EXPECT_EQ(answer.find(text), answer.rfind(text)) << "twice: " << text;
		}
		EXPECT_TRUE(has(answer, "\r\n0\r\n\r\n"));
	}
	EXPECT_GT(workers[0]->runs().size(), 0u);
}

TEST_F(GatewayTest, brokenStreamThatIsNotResumableNeverLooksComplete)
{
	startGateway(settings(1));
	setFaults(WorkerFault::CutsStream);
	const std::string answer = call("GET", "/stream/once/", "r1");
	EXPECT_FALSE(has(answer, "\r\n0\r\n\r\n"));
	EXPECT_EQ(answer.find("id: 5\n"), std::string::npos) << "part of an event was forwarded";
	EXPECT_EQ(runsOf("r1"), 1u);
}

TEST_F(GatewayTest, unsafeRequestIsSentOnceAndItsLossIsNotReportedAsNotRun)
{
	startGateway(settings(1));
	unsigned number = 0;
	for (const WorkerFault fault : {WorkerFault::Resets, WorkerFault::Unframed, WorkerFault::WrongId})
	{
		setFaults(fault);
		const std::string id = "r" + std::to_string(++number);
		const std::string answer = call("POST", "/unsafe/", id);
		EXPECT_EQ(statusOf(answer), 502u) << answer;
		EXPECT_FALSE(has(answer, "Retry-After"));
		EXPECT_FALSE(has(answer, platform::kStamp));
		EXPECT_EQ(runsOf(id), 1u);
	}
}

TEST_F(GatewayTest, requestThatNoWorkerRanIsReportedAsNotRun)
{
	startGateway(settings(1));
	for (const WorkerFault fault : {WorkerFault::Rejects, WorkerFault::Misdirected})
	{
		setFaults(fault);
		const std::string answer = call("POST", "/unsafe/", "r1");
		EXPECT_EQ(statusOf(answer), 503u) << answer;
		EXPECT_TRUE(has(answer, "Retry-After: 0."));
		EXPECT_EQ(runsOf("r1"), 0u);
	}
}

TEST_F(GatewayTest, safeRequestIsRetriedElsewhereWithinItsAttempts)
{
	startGateway(settings(1));
	workers[0]->setFault(WorkerFault::Resets);
	for (int number = 0; number < 4; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "r" + std::to_string(number))), 200u);
	}
	workers[1]->setFault(WorkerFault::Fails);
	const std::string answer = call("GET", "/safe/", "last");
	EXPECT_TRUE(statusOf(answer) == 500u || statusOf(answer) == 502u) << answer;
	EXPECT_LE(runsOf("last"), 2u);
}

TEST_F(GatewayTest, requestIsAnsweredAtTheTimeoutOfItsRoute)
{
	startGateway(settings(1));
	setFaults(WorkerFault::Hangs);
	const Micros before = monotonicNow();
	const std::string answer = call("POST", "/unsafe/", "r1");
	EXPECT_EQ(statusOf(answer), 504u);
	EXPECT_LT(monotonicNow() - before, 2500 * kMillisecond);
	EXPECT_GE(monotonicNow() - before, 1900 * kMillisecond);
}

TEST_F(GatewayTest, workerIsNotifiedWhenItsCallerDisconnects)
{
	startGateway(settings(1));
	setFaults(WorkerFault::Hangs);
	Caller caller({host(1), kCallerPort});
	caller.sendBytes(request("POST", "/unsafe/", "r1", std::string(platform::kApiKey) + ": key\r\n", "body"));
	ASSERT_TRUE(await([&] { return runsOf("r1") == 1; }));
	caller.disconnect();
	const auto ended = [&]
	{
		for (auto& worker : workers)
		{
			for (const standin::WorkerRun& run : worker->runs())
			{
				if (run.ended)
				{
					return true;
				}
			}
		}
		return false;
	};
	EXPECT_TRUE(await(ended, 500 * kMillisecond));
}

TEST_F(GatewayTest, incompleteHeaderAndIdleConnectionTimeOut)
{
	startGateway(settings(1));
	Caller slow({host(1), kCallerPort});
	slow.sendBytes("GET /safe/ HTTP/1.1\r\nHost: h.exa");
	EXPECT_EQ(statusOf(slow.receiveUntil("", 2 * kSecond)), 408u);
	EXPECT_TRUE(slow.ended);
	Caller silent({host(1), kCallerPort});
	EXPECT_EQ(silent.receiveUntil("", 4 * kSecond), "");
	EXPECT_TRUE(silent.ended);
}

TEST_F(GatewayTest, malformedAndOversizedRequestsNeverReachAWorker)
{
	startGateway(settings(1));
	const std::string key = std::string(platform::kApiKey) + ": key\r\n";
	const std::vector<std::pair<std::string, unsigned>> cases{
		{"NONSENSE\r\n\r\n", 400},
		{request("POST", "/unsafe/", "a", key + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n") + "body",
		 400},
		{request("POST", "/unsafe/", "a", key, std::string(1001, 'x')), 413},
		{request("GET", "/safe/", "a", key + "X: " + std::string(40000, 'x') + "\r\n"), 431}};
	for (const auto& [bytes, status] : cases)
	{
		Caller caller({host(1), kCallerPort});
		caller.sendBytes(bytes);
		EXPECT_EQ(statusOf(caller.receiveUntil("", 2 * kSecond)), status) << bytes.substr(0, 80);
	}
	EXPECT_TRUE(workers[0]->runs().empty());
	EXPECT_TRUE(workers[1]->runs().empty());
}

TEST_F(GatewayTest, gracefulStopAbortsNoRequest)
{
	startGateway(settings(1));
	Caller running({host(1), kCallerPort});
	const std::string key = std::string(platform::kApiKey) + ": key\r\n";
	running.sendBytes(request("GET", "/stream/once/", "r1", key));
	ASSERT_TRUE(await([&] { return runsOf("r1") == 1; }));
	gateways[0]->requestStop();
	EXPECT_TRUE(await([&] { return !isReady({host(1), kReadyPort}); }, kSecond));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r2")), 200u)
		<< "requests are accepted until the load balancer has noticed";
	EXPECT_TRUE(has(running.receiveUntil("\r\n0\r\n\r\n"), "\r\n0\r\n\r\n"));
	std::this_thread::sleep_for(std::chrono::milliseconds(700));
	const std::string late = call("GET", "/safe/", "r3");
	EXPECT_TRUE(late.empty() || (statusOf(late) == 503 && has(late, "Retry-After"))) << late;
	gateways[0]->stop();
}

} // namespace beacongate::test
