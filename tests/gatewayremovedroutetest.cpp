// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway that crashes, or repeats a request that may have run, when a configuration removes or
/// changes the route of an open request.

#include "gatewayfixture.h"
#include "rawbackend.h"

#include <atomic>
#include <thread>

namespace beacongate::test
{
namespace
{
/// Numbers of the two backend servers; a failed attempt is repeated only if there is another one.
constexpr unsigned kFirst = 3;
constexpr unsigned kOther = 4;
constexpr unsigned kSlots = 8;
constexpr unsigned kRounds = 4;

/// Five teams, of which the first one, "t", has the key "key".
/// @param[in] _kind Kind of the route "/removed/"; empty if there are no removable routes.
std::string configOf(std::uint64_t _version, const std::string& _kind)
{
	standin::SiteConfig config;
	config.version = _version;
	config.host = "h.example";
	config.keys = {"key"};
	config.targetLatency = 3 * kSecond;
	config.timeout = 5 * kSecond;
	config.routes = {{"/kept/", "unsafe"}};
	if (!_kind.empty())
	{
		config.routes.push_back({"/removed/", _kind, 2});
		config.routes.push_back({"/stream/", "streaming", 2, true});
	}
	for (int number = 0; number < 4; ++number)
	{
		const std::string name = "other-team-" + std::to_string(number);
		config.teams.push_back({name, "key-of-" + name});
	}
	return standin::formatConfig(config);
}

RawBackend::Script wholeAnswer(const std::string& _request, const std::string& _status)
{
	return {RawBackend::head(_request, _status, "Content-Length: 2\r\n") + "ok"};
}
} // namespace

/// One gateway and no backend server at first.
class GatewayRemovedRouteTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		store->remove("servers/" + workerId(1));
		store->remove("servers/" + workerId(2));
		store->put(platform::kConfigKey, configOf(2, "safe"));
		startGateway(settings(1));
		ASSERT_TRUE(await([&] { return isInForce(); }));
	}

	void TearDown() override
	{
		release();
	}

	/// Starts two backend servers that give the same answers.
	void startBackends(const RawBackend::Answer& _answer)
	{
		for (const unsigned number : {kFirst, kOther})
		{
			const Address address{host(100 + number), kWorkerPort};
			m_backends.push_back(std::make_unique<RawBackend>(address, _answer));
			store->put("servers/" + workerId(number), standin::formatRecord(address, kSlots, "ready"));
		}
		ASSERT_TRUE(await([&] { return has(metrics(), "beacongate_backends_usable 2\n"); }));
	}

	/// Waits on a backend server's thread until release() is called.
	void awaitRelease() const
	{
		await([&] { return m_released.load(); });
	}

	void release()
	{
		m_released = true;
	}

	std::unique_ptr<Caller> send(const std::string& _method, const std::string& _path, const std::string& _id) const
	{
		auto caller = std::make_unique<Caller>(Address{host(1), kCallerPort});
		const std::string key = std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n";
		caller->sendBytes(request(_method, _path, _id, key));
		return caller;
	}

	/// Sends a request to a route, removes the route while the request runs, and sends one to a route that is kept.
	/// Then lets the backend servers go on, and puts the route back.
	/// @returns the answer to the first request. Fails if the other one is not answered.
	std::string removeRouteOfRunningRequest(const std::string& _path)
	{
		m_released = false;
		const std::string number = std::to_string(m_version);
		const unsigned before = receivedRequests();
		const auto first = send("GET", _path, "a" + number);
		EXPECT_TRUE(await([&] { return receivedRequests() == before + 1; }));
		const std::string begun = _path == "/stream/" ? first->receiveUntil("\n\n") : "";
		removeRoutes();
		const auto kept = send("POST", "/kept/", "b" + number);
		EXPECT_TRUE(await([&] { return receivedRequests() == before + 2; }));
		release();
		std::string answer = begun + first->receiveUntil("");
		EXPECT_EQ(statusOf(kept->receiveUntil("")), 200u);
		restoreRoutes();
		return answer;
	}

	/// Puts a configuration without the removable routes, and waits until it is in force.
	void removeRoutes()
	{
		store->put(platform::kConfigKey, configOf(++m_version, ""));
		EXPECT_TRUE(await([&] { return !isInForce(); }));
	}

	void restoreRoutes()
	{
		store->put(platform::kConfigKey, configOf(++m_version, "safe"));
		EXPECT_TRUE(await([&] { return isInForce(); }));
	}

	/// Makes the route "/removed/" one whose requests run at most once, and waits until that is in force.
	void forbidRepeats()
	{
		store->put(platform::kConfigKey, configOf(++m_version, "unsafe"));
		const std::string inForce = "beacongate_config_version " + std::to_string(m_version) + "\n";
		EXPECT_TRUE(await([&] { return has(metrics(), inForce); }));
	}

	std::string metrics() const
	{
		Caller caller({host(1), kControlPort});
		caller.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		return caller.receiveUntil("");
	}

	unsigned receivedRequests() const
	{
		unsigned count = 0;
		for (const auto& backend : m_backends)
		{
			count += backend->requests;
		}
		return count;
	}

private:
	/// @returns true if the gateway's configuration has the removable routes: only then it looks at the key.
	bool isInForce()
	{
		return statusOf(call("GET", "/removed/", "probe", "unknown")) == 401;
	}

	std::atomic<bool> m_released = false;
	std::uint64_t m_version = 2;
	std::vector<std::unique_ptr<RawBackend>> m_backends;
};

TEST_F(GatewayRemovedRouteTest, gatewaySurvivesAFailedAttemptOnARemovedRoute)
{
	startBackends(
		[this](const std::string& _request)
		{
			awaitRelease();
			return wholeAnswer(_request, _request.starts_with("GET /removed/") ? "500 Error" : "200 OK");
		});
	for (unsigned round = 0; round < kRounds; ++round)
	{
		EXPECT_EQ(statusOf(removeRouteOfRunningRequest("/removed/")), 502u);
	}
	EXPECT_TRUE(has(metrics(), R"(route="/removed/",team="t",outcome="no-route",status="502"} 4)")) << metrics();
}

TEST_F(GatewayRemovedRouteTest, gatewaySurvivesABrokenStreamOnARemovedRoute)
{
	startBackends(
		[this](const std::string& _request)
		{
			if (!_request.starts_with("GET /stream/"))
			{
				awaitRelease();
				return wholeAnswer(_request, "200 OK");
			}
			const std::string head = RawBackend::head(
				_request, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
			return RawBackend::Script{head + "f\r\nid: 1\ndata: x\n\n\r\n", "", RawBackend::Ending::Reset,
									  [this]
									  {
										  awaitRelease();
									  }};
		});
	for (unsigned round = 0; round < kRounds; ++round)
	{
		const std::string answer = removeRouteOfRunningRequest("/stream/");
		EXPECT_TRUE(has(answer, "id: 1\n")) << answer;
		EXPECT_FALSE(has(answer, "\r\n0\r\n\r\n")) << answer;
	}
	EXPECT_TRUE(has(metrics(), R"(route="/stream/",team="t",outcome="broken",status="0"} 4)")) << metrics();
}

TEST_F(GatewayRemovedRouteTest, requestThatMayHaveRunIsNotRepeatedOnceItsRouteForbidsIt)
{
	startBackends(
		[this](const std::string& _request)
		{
			awaitRelease();
			return wholeAnswer(_request, "500 Error");
		});
	const auto caller = send("GET", "/removed/", "a");
	ASSERT_TRUE(await([&] { return receivedRequests() == 1; }));
	forbidRepeats();
	release();
	EXPECT_EQ(statusOf(caller->receiveUntil("")), 502u);
	EXPECT_EQ(receivedRequests(), 1u);
}

TEST_F(GatewayRemovedRouteTest, gatewaySurvivesAQueuedRequestOnARemovedRoute)
{
	for (unsigned round = 0; round < kRounds; ++round)
	{
		const auto queued = send("GET", "/removed/", "a" + std::to_string(round));
		EXPECT_TRUE(await([&] { return has(metrics(), "beacongate_waiting_requests 1\n"); }));
		removeRoutes();
		EXPECT_EQ(statusOf(queued->receiveUntil("")), 404u);
		restoreRoutes();
	}
	EXPECT_TRUE(has(metrics(), R"(route="/removed/",team="t",outcome="no-route",status="404"} 4)")) << metrics();
}

} // namespace beacongate::test
