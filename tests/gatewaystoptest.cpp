// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that stops without answering its open requests.

#include "gatewayfixture.h"

namespace beacongate::test
{
namespace
{
constexpr unsigned kSlots = 4; ///< Slots of a worker, see GatewayTest::registerWorker().
constexpr unsigned kWaiting = 3;
constexpr Micros kGrace = 2 * kSecond;
constexpr Micros kCallTime = 4 * kSecond;

std::string configOf()
{
	standin::SiteConfig config;
	config.version = 2;
	config.host = "h.example";
	config.keys = {"key"};
	config.timeout = 8 * kSecond;
	config.routes = {{"/unsafe/", "unsafe", 2}, {"/safe/", "safe", 2}};
	standin::SiteRoute patient{"/patient/", "unsafe"};
	patient.targetLatency = 6 * kSecond;
	config.routes.push_back(patient);
	return standin::formatConfig(config);
}
} // namespace

/// A gateway whose first worker has no free slot.
class GatewayStopTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		store->remove("servers/" + workerId(2));
		store->put(platform::kConfigKey, configOf());
		workers[0]->setCallTime(kCallTime);
		GatewaySettings values = settings(1);
		values.grace = kGrace;
		startGateway(values);
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/patient/", "probe", "unknown")) == 401; }));
		for (unsigned number = 0; number < kSlots; ++number)
		{
			running.push_back(send("POST", "/unsafe/", "long" + std::to_string(number)));
		}
		ASSERT_TRUE(await([&] { return workers[0]->runs().size() == kSlots; }));
	}

	std::unique_ptr<Caller> send(const std::string& _method, const std::string& _path, const std::string& _id) const
	{
		auto caller = std::make_unique<Caller>(Address{host(1), kCallerPort});
		const std::string headers =
			std::string(platform::kApiKey) + ": key\r\n" + platform::kDeadline + ": 8000\r\n";
		caller->sendBytes(_method + ' ' + _path + " HTTP/1.1\r\nHost: h.example\r\n" + platform::kRequestId + ": " +
						  _id + "\r\n" + headers + "Content-Length: 4\r\n\r\nbody");
		return caller;
	}

	/// Adds the second worker, with a fault, and waits until the gateway knows it.
	void addSecondWorker(WorkerFault _fault)
	{
		workers[1]->setFault(_fault);
		registerWorker(2, "ready");
		ASSERT_TRUE(await([&] { return has(metrics(), "beacongate_backends_usable 2\n"); }));
	}

	std::string metrics() const
	{
		Caller caller({host(1), kControlPort});
		caller.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		return caller.receiveUntil("");
	}

	/// Sends requests that wait in the gateway, and asks it to stop.
	std::vector<std::unique_ptr<Caller>> stopWhileWaiting(const std::string& _method, const std::string& _path)
	{
		const std::string gauge = "beacongate_waiting_requests " + std::to_string(kWaiting) + "\n";
		std::vector<std::unique_ptr<Caller>> waiting;
		for (unsigned number = 0; number < kWaiting; ++number)
		{
			waiting.push_back(send(_method, _path, "short" + std::to_string(number)));
		}
		EXPECT_TRUE(await([&] { return has(metrics(), gauge); }));
		gateways[0]->requestStop();
		return waiting;
	}

	std::vector<std::unique_ptr<Caller>> running; ///< Callers whose requests run at the first worker.
};

TEST_F(GatewayStopTest, turnedAwayRequestIsRefusedAsNotRunBeforeTheGraceEnds)
{
	addSecondWorker(WorkerFault::Rejects);
	for (const auto& caller : stopWhileWaiting("POST", "/unsafe/"))
	{
		const std::string answer = caller->receiveUntil("");
		EXPECT_EQ(statusOf(answer), 503u) << answer;
		EXPECT_TRUE(has(answer, "Retry-After")) << answer;
	}
	EXPECT_EQ(workers[1]->arrivals().size(), kWaiting);
	EXPECT_TRUE(workers[1]->runs().empty());
}

TEST_F(GatewayStopTest, requestThatWasNeverSentIsRefusedBeforeTheGraceEnds)
{
	for (const auto& caller : stopWhileWaiting("POST", "/patient/"))
	{
		const std::string answer = caller->receiveUntil("");
		EXPECT_EQ(statusOf(answer), 503u) << answer;
		EXPECT_TRUE(has(answer, "Retry-After")) << answer;
	}
	EXPECT_EQ(workers[0]->runs().size(), kSlots);
}

TEST_F(GatewayStopTest, waitingRequestThatMayHaveRunIsAnsweredWithoutAPromise)
{
	addSecondWorker(WorkerFault::Resets);
	for (const auto& caller : stopWhileWaiting("GET", "/safe/"))
	{
		const std::string answer = caller->receiveUntil("");
		EXPECT_EQ(statusOf(answer), 502u) << answer;
		EXPECT_FALSE(has(answer, "Retry-After")) << answer;
	}
	EXPECT_EQ(workers[1]->runs().size(), kWaiting);
}

TEST_F(GatewayStopTest, runningRequestIsAnsweredWithoutAPromiseWhenTheGraceEnds)
{
	gateways[0]->requestStop();
	for (const auto& caller : running)
	{
		const std::string answer = caller->receiveUntil("");
		EXPECT_EQ(statusOf(answer), 502u) << answer;
		EXPECT_FALSE(has(answer, "Retry-After")) << answer;
	}
	EXPECT_EQ(workers[0]->runs().size(), kSlots);
}

} // namespace beacongate::test
