// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Whole gateways against stand-ins of the platform: what callers and workers see under failures.

#include "gateway/gateway.h"
#include "daemon/clock.h"
#include "gateway/memberkeys.h"
#include "platform/names.h"
#include "protocol/json.h"
#include "protocol/usagecodec.h"
#include "standin/platform.h"
#include "standin/platformsite.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <csignal>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace beacongate::test
{
namespace
{
constexpr std::uint16_t kCallerPort = 18100;
constexpr std::uint16_t kReadyPort = 18101;
constexpr std::uint16_t kControlPort = 18102;
constexpr std::uint16_t kGossipPort = 18103;
constexpr std::uint16_t kStorePort = 18104;
constexpr std::uint16_t kDutyPort = 18105;
constexpr std::uint16_t kWorkerPort = 18106;

bool await(const std::function<bool()>& check, Micros span = 15 * kSecond)
{
	const Micros until = monotonicNow() + span;
	while (monotonicNow() < until)
	{
		if (check())
		{
			return true;
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
	}
	return false;
}

/// A caller's connection, seen as bytes.
class Caller
{
public:
	explicit Caller(const Address& address) : m_socket(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(address.port);
		inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
		connected = connect(m_socket, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0;
	}

	~Caller()
	{
		leave();
	}

	Caller(const Caller&) = delete;
	Caller& operator=(const Caller&) = delete;

	void leave()
	{
		if (m_socket >= 0)
		{
			close(m_socket);
			m_socket = -1;
		}
	}

	void say(const std::string& bytes) const
	{
		::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
	}

	/// Reads until a text has come, the connection ends, or the span is over.
	std::string hear(const std::string& until, Micros span = 10 * kSecond)
	{
		std::string heard;
		const Micros end = monotonicNow() + span;
		while (monotonicNow() < end && (until.empty() || heard.find(until) == std::string::npos))
		{
			pollfd ready{m_socket, POLLIN, 0};
			if (poll(&ready, 1, 20) != 1)
			{
				continue;
			}
			char buffer[4096];
			const ssize_t count = recv(m_socket, buffer, sizeof buffer, 0);
			if (count <= 0)
			{
				ended = true;
				wasReset = count < 0;
				break;
			}
			heard.append(buffer, static_cast<std::size_t>(count));
		}
		return heard;
	}

	bool connected = false;
	bool ended = false;
	bool wasReset = false;

private:
	int m_socket;
};

/// A gateway on a thread of its own.
class RunningGateway
{
public:
	explicit RunningGateway(const GatewaySettings& settings)
		: m_gateway(settings, [settings] { return settings; }), m_thread([this] { serve(); })
	{
	}

	~RunningGateway()
	{
		stop();
	}

	void requestStop()
	{
		m_gateway.post([this] { m_gateway.requestStop(); });
	}

	void stop()
	{
		if (m_thread.joinable())
		{
			requestStop();
			m_thread.join();
		}
	}

private:
	void serve()
	{
		m_gateway.init();
		m_gateway.run();
	}

	Gateway m_gateway;
	std::thread m_thread;
};

/// Store, duties, two workers and as many gateways as a test asks for, on loopback addresses of their own.
class GatewayTest : public testing::Test
{
protected:
	GatewayTest()
	{
		std::signal(SIGPIPE, SIG_IGN);
		const auto pid = static_cast<unsigned>(getpid());
		m_net = "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(pid % 250) + ".";
		store = std::make_unique<standin::PlatformStore>(Address{host(200), kStorePort});
		duties = std::make_unique<standin::PlatformDuties>(Address{host(200), kDutyPort});
		for (unsigned number : {1u, 2u})
		{
			const Address address{host(100 + number), kWorkerPort};
			workers.push_back(std::make_unique<standin::PlatformWorker>(workerId(number), address));
			registerWorker(number, "ready");
		}
		store->put(platform::kConfigKey, config(1));
	}

	std::string host(unsigned number) const
	{
		return m_net + std::to_string(number);
	}

	static std::string workerId(unsigned number)
	{
		return "w" + std::to_string(number);
	}

	void registerWorker(unsigned number, const std::string& state)
	{
		constexpr unsigned kSlots = 4;
		const Address address{host(100 + number), kWorkerPort};
		store->put("servers/" + workerId(number), standin::formatRecord(address, kSlots, state));
	}

	static std::string config(std::uint64_t version, const std::vector<std::string>& keys = {"key"})
	{
		standin::SiteConfig made;
		made.version = version;
		made.host = "h.example";
		made.keys = keys;
		made.routes = {{"/safe/", "safe", 2},
					   {"/unsafe/", "unsafe", 1},
					   {"/stream/once/", "streaming", 1},
					   {"/stream/again/", "streaming", 2, true},
					   {"/open/", "safe", 2, false, true}};
		return standin::formatConfig(made);
	}

	GatewaySettings settings(unsigned number) const
	{
		GatewaySettings made;
		made.name = "g" + std::to_string(number);
		made.dataCentre = "z1";
		made.callers = {host(number), kCallerPort};
		made.readiness = {host(number), kReadyPort};
		made.control = Address{host(number), kControlPort};
		made.gossipPort = kGossipPort;
		made.seeds = {{host(1), kControlPort}, {host(2), kControlPort}};
		made.store = {host(200), kStorePort};
		made.dutyApi = Address{host(200), kDutyPort};
		made.reportsUsage = true;
		made.grace = 2 * kSecond;
		made.strictRevocation = true;
		made.revocationSpan = 3 * kSecond;
		made.leaseSpan = 2 * kSecond;
		made.usageWindow = kSecond;
		return made;
	}

	void startGateway(const GatewaySettings& chosen)
	{
		gateways.push_back(std::make_unique<RunningGateway>(chosen));
		ASSERT_TRUE(await([&] { return isReady(chosen.readiness); })) << chosen.name << " did not get ready";
	}

	static bool isReady(const Address& address)
	{
		Caller caller(address);
		caller.say("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
		return caller.hear("\r\n\r\n", kSecond).find("HTTP/1.1 200") == 0;
	}

	static std::string request(const std::string& method, const std::string& path, const std::string& id,
							   const std::string& more = "", const std::string& body = "")
	{
		std::string bytes = method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\n" + platform::kRequestId + ": " +
							id + "\r\n" + platform::kDeadline + ": 5000\r\n" + more;
		if (!body.empty())
		{
			bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
		}
		return bytes + "\r\n" + body;
	}

	/// Sends one request and reads the whole answer.
	std::string call(const std::string& method, const std::string& path, const std::string& id,
					 const std::string& key = "key", unsigned gateway = 1)
	{
		Caller caller({host(gateway), kCallerPort});
		const std::string header = key.empty() ? "" : std::string(platform::kApiKey) + ": " + key + "\r\n";
		caller.say(request(method, path, id, header + "Connection: close\r\n", method == "POST" ? "body" : ""));
		return caller.hear("");
	}

	unsigned runsOf(const std::string& id)
	{
		return workers[0]->runsOf(id) + workers[1]->runsOf(id);
	}

	void setFaults(standin::WorkerFault fault)
	{
		for (auto& worker : workers)
		{
			worker->setFault(fault);
		}
	}

	static unsigned statusOf(const std::string& answer)
	{
		return answer.size() < 12 ? 0 : static_cast<unsigned>(std::atoi(answer.c_str() + 9));
	}

	static bool has(const std::string& answer, const std::string& text)
	{
		return answer.find(text) != std::string::npos;
	}

	std::unique_ptr<standin::PlatformStore> store;
	std::unique_ptr<standin::PlatformDuties> duties;
	std::vector<std::unique_ptr<standin::PlatformWorker>> workers;
	std::vector<std::unique_ptr<RunningGateway>> gateways;

private:
	std::string m_net;
};

using standin::StoreFault;
using standin::WorkerFault;
} // namespace

TEST_F(GatewayTest, aCallReachesAWorkerUnchangedAndItsAnswerTheCaller)
{
	startGateway(settings(1));
	Caller caller({host(1), kCallerPort});
	caller.say(
		request("POST", "/unsafe/a?b=%20c", "r1",
				std::string(platform::kApiKey) + ": key\r\n" + platform::kTenant + ": forged\r\nX-Kept: 1\r\n",
				"the body"));
	const std::string answer = caller.hear("\r\n\r\n" + standin::PlatformWorker::wholeCall("r1"));
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
	// The connection is kept for another request.
	caller.say(request("GET", "/open/x", "r2"));
	EXPECT_EQ(statusOf(caller.hear("\r\n\r\n" + standin::PlatformWorker::wholeCall("r2"))), 200u);
}

TEST_F(GatewayTest, refusesWhatTheConfigurationDoesNotAllow)
{
	startGateway(settings(1));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r1", "unknown")), 401u);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r2", "")), 401u);
	EXPECT_EQ(statusOf(call("GET", "/open/", "r3", "")), 200u);
	EXPECT_EQ(statusOf(call("GET", "/nowhere/", "r4")), 404u);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "")), 400u);
	EXPECT_EQ(runsOf("r1") + runsOf("r2") + runsOf("r4"), 0u);
}

TEST_F(GatewayTest, aStreamPassesAsItIsMadeAndEndsWhole)
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

TEST_F(GatewayTest, aStreamThatMayBeResumedGoesOnElsewhereWithWholeEventsOnce)
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

TEST_F(GatewayTest, aStreamThatBreaksAndMayNotBeResumedNeverLooksWhole)
{
	startGateway(settings(1));
	setFaults(WorkerFault::CutsStream);
	const std::string answer = call("GET", "/stream/once/", "r1");
	EXPECT_FALSE(has(answer, "\r\n0\r\n\r\n"));
	EXPECT_EQ(answer.find("id: 5\n"), std::string::npos) << "part of an event was passed on";
	EXPECT_EQ(runsOf("r1"), 1u);
}

TEST_F(GatewayTest, aCallThatMayNotBeRepeatedIsSentOnceAndItsLossIsNotCalledNotRun)
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

TEST_F(GatewayTest, aCallThatNoWorkerRanIsPromisedNotToHaveRun)
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

TEST_F(GatewayTest, aSafeCallIsRepeatedElsewhereWithinItsAttempts)
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

TEST_F(GatewayTest, aRequestIsAnsweredAtItsRoutesTimeout)
{
	startGateway(settings(1));
	setFaults(WorkerFault::Hangs);
	const Micros before = monotonicNow();
	const std::string answer = call("POST", "/unsafe/", "r1");
	EXPECT_EQ(statusOf(answer), 504u);
	EXPECT_LT(monotonicNow() - before, 2500 * kMillisecond);
	EXPECT_GE(monotonicNow() - before, 1900 * kMillisecond);
}

TEST_F(GatewayTest, aWorkerIsToldAtOnceThatItsCallerLeft)
{
	startGateway(settings(1));
	setFaults(WorkerFault::Hangs);
	Caller caller({host(1), kCallerPort});
	caller.say(request("POST", "/unsafe/", "r1", std::string(platform::kApiKey) + ": key\r\n", "body"));
	ASSERT_TRUE(await([&] { return runsOf("r1") == 1; }));
	caller.leave();
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

TEST_F(GatewayTest, halfAHeaderAndASilentCallerAreNotHeldForLong)
{
	startGateway(settings(1));
	Caller slow({host(1), kCallerPort});
	slow.say("GET /safe/ HTTP/1.1\r\nHost: h.exa");
	EXPECT_EQ(statusOf(slow.hear("", 2 * kSecond)), 408u);
	EXPECT_TRUE(slow.ended);
	Caller silent({host(1), kCallerPort});
	EXPECT_EQ(silent.hear("", 4 * kSecond), "");
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
		caller.say(bytes);
		EXPECT_EQ(statusOf(caller.hear("", 2 * kSecond)), status) << bytes.substr(0, 80);
	}
	EXPECT_TRUE(workers[0]->runs().empty());
	EXPECT_TRUE(workers[1]->runs().empty());
}

TEST_F(GatewayTest, aNewConfigurationIsInForceSoonAndARevokedKeyRefused)
{
	startGateway(settings(1));
	ASSERT_EQ(statusOf(call("GET", "/safe/", "r1")), 200u);
	store->put(platform::kConfigKey, config(2, {"other"}));
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r2")) == 401; }, 2 * kSecond));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r3", "other")), 200u);
	store->put(platform::kConfigKey, "{\"version\": 3}");
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r4", "other")), 200u) << "the last good configuration stays in force";
}

TEST_F(GatewayTest, withoutTheStoreKeysAreRefusedInTimeAndAnonymousCallsGoOn)
{
	startGateway(settings(1));
	for (const StoreFault fault : {StoreFault::Busy, StoreFault::Silent})
	{
		store->setFault(fault);
		const Micros lost = monotonicNow();
		EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r1")) == 503; }, 3 * kSecond));
		EXPECT_LT(monotonicNow() - lost, 3 * kSecond);
		EXPECT_TRUE(has(call("GET", "/safe/", "r2"), "Retry-After"));
		EXPECT_EQ(statusOf(call("GET", "/open/", "r3", "")), 200u);
		EXPECT_FALSE(isReady({host(1), kReadyPort}));
		store->setFault(StoreFault::None);
		EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r4")) == 200; }, 4 * kSecond));
		EXPECT_TRUE(await([&] { return isReady({host(1), kReadyPort}); }, 2 * kSecond));
	}
}

TEST_F(GatewayTest, oneThatCannotReachTheStoreHearsOfItFromAPeer)
{
	startGateway(settings(1));
	GatewaySettings cut = settings(2);
	cut.store = {host(201), kStorePort};
	startGateway(cut);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r1", "key", 2)), 200u);
	store->put(platform::kConfigKey, config(2, {"other"}));
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r2", "key", 2)) == 401; }, 3 * kSecond));
	registerWorker(1, "draining");
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	const std::size_t before = workers[0]->runs().size();
	for (int number = 0; number < 6; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "d" + std::to_string(number), "other", 2)), 200u);
	}
	EXPECT_EQ(workers[0]->runs().size(), before);
}

TEST_F(GatewayTest, oneGatewayOfADataCentreReadsTheStoreForTheOthers)
{
	constexpr int kGateways = 4;
	const auto callsIn = [&](Micros span)
	{
		const unsigned before = store->calls();
		std::this_thread::sleep_for(std::chrono::microseconds(span));
		return store->calls() - before;
	};
	startGateway(settings(1));
	std::this_thread::sleep_for(std::chrono::seconds(2));
	const unsigned alone = callsIn(4 * kSecond);
	for (unsigned number = 2; number <= kGateways; ++number)
	{
		startGateway(settings(number));
	}
	std::this_thread::sleep_for(std::chrono::seconds(2));
	// Each other gateway renews the lease of its registration, and one may hold the duties beside.
	EXPECT_LT(callsIn(4 * kSecond), 2 * alone);
	// The relay ends without a word: the others read for themselves, and hear of news all the while.
	gateways[0]->stop();
	store->put(platform::kConfigKey, config(2, {"other"}));
	for (unsigned number = 2; number <= kGateways; ++number)
	{
		EXPECT_TRUE(await(
			[&] { return statusOf(call("GET", "/safe/", "n" + std::to_string(number), "other", number)) == 200; },
			2 * kSecond));
	}
	store->remove("servers/" + workerId(1));
	std::this_thread::sleep_for(std::chrono::seconds(2));
	const std::size_t runs = workers[0]->runs().size();
	for (int number = 0; number < 8; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "g" + std::to_string(number), "other", 2 + number % 3)), 200u);
	}
	EXPECT_EQ(workers[0]->runs().size(), runs) << "a record that is gone is not used by one that asks its relay";
}

TEST_F(GatewayTest, backendServersWhoseRecordsLapseInAnOutageServeOn)
{
	startGateway(settings(1));
	store->setFault(StoreFault::Busy);
	std::this_thread::sleep_for(std::chrono::milliseconds(2000));
	store->remove("servers/" + workerId(1));
	store->remove("servers/" + workerId(2));
	store->setFault(StoreFault::None);
	for (int number = 0; number < 12; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "l" + std::to_string(number))), 200u);
		std::this_thread::sleep_for(std::chrono::milliseconds(100));
	}
	registerWorker(2, "ready");
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "back")) == 200; }, kSecond));
}

TEST_F(GatewayTest, newsComeAlsoAfterTheStoreForgotItsHistory)
{
	startGateway(settings(1));
	store->put("servers/" + workerId(1), Json{{"service", "s"}}.dump()); // Makes no sense and is passed over.
	store->forgetHistory();
	store->put(platform::kConfigKey, config(2, {"other"}));
	store->forgetHistory();
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r1", "other")) == 200; }, 2 * kSecond));
}

TEST_F(GatewayTest, aPlannedStopCutsNothingOff)
{
	startGateway(settings(1));
	Caller running({host(1), kCallerPort});
	const std::string key = std::string(platform::kApiKey) + ": key\r\n";
	running.say(request("GET", "/stream/once/", "r1", key));
	ASSERT_TRUE(await([&] { return runsOf("r1") == 1; }));
	gateways[0]->requestStop();
	EXPECT_TRUE(await([&] { return !isReady({host(1), kReadyPort}); }, kSecond));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r2")), 200u) << "requests are taken until the balancer has noticed";
	EXPECT_TRUE(has(running.hear("\r\n0\r\n\r\n"), "\r\n0\r\n\r\n"));
	std::this_thread::sleep_for(std::chrono::milliseconds(700));
	const std::string late = call("GET", "/safe/", "r3");
	EXPECT_TRUE(late.empty() || (statusOf(late) == 503 && has(late, "Retry-After"))) << late;
	gateways[0]->stop();
}

TEST_F(GatewayTest, oneUsageReportAWindowThoughTheStoreLosesAnswers)
{
	startGateway(settings(1));
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	std::map<unsigned, unsigned> asked;
	for (int number = 0; number < 30; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "r" + std::to_string(number), "key", 1 + number % 2)), 200u);
		if (number == 15)
		{
			store->setFault(StoreFault::LosesWrites);
		}
		if (number == 17)
		{
			store->setFault(StoreFault::None);
		}
		std::this_thread::sleep_for(std::chrono::milliseconds(100));
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(4500));
	std::map<std::uint64_t, std::string> reports;
	std::uint64_t fence = 0;
	std::uint64_t counted = 0;
	for (const standin::DutyCall& report : duties->calls())
	{
		ASSERT_EQ(report.target, "/usage");
		EXPECT_GE(report.fence, fence);
		fence = report.fence;
		const Json body = parseJson(report.body, Failure::Internal);
		const auto window = body.at("windowId").get<std::uint64_t>();
		if (reports.count(window))
		{
			EXPECT_EQ(reports[window], body.at("counts").dump()) << "a window was reported twice with other counts";
			continue;
		}
		reports[window] = body.at("counts").dump();
		counted += body.at("counts").value("t", std::uint64_t{0});
	}
	EXPECT_GE(counted, 28u);
	EXPECT_LE(counted, 30u);
}

TEST_F(GatewayTest, usageCountsOutliveAllGatewaysAtOnce)
{
	GatewaySettings chosen = settings(1);
	chosen.usageWindow = 4 * kSecond;
	startGateway(chosen);
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	// The requests have to fall into one window with time to spare.
	const auto position = []
	{
		const auto now = std::chrono::system_clock::now().time_since_epoch();
		return std::chrono::duration_cast<std::chrono::milliseconds>(now).count() % 4000;
	};
	ASSERT_TRUE(await([&] { return position() < 500; }));
	for (int number = 0; number < 5; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "r" + std::to_string(number))), 200u);
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(700));
	gateways.clear();
	startGateway(chosen);
	const auto reported = [&]
	{
		for (const standin::DutyCall& report : duties->calls())
		{
			if (parseJson(report.body, Failure::Internal).at("counts").value("t", 0) == 5)
			{
				return true;
			}
		}
		return false;
	};
	EXPECT_TRUE(await(reported, 12 * kSecond));
}

TEST_F(GatewayTest, oneThatTakesTheDutiesReadsTheKeptCountsFirst)
{
	GatewaySettings relay = settings(1);
	relay.dutyApi.reset();
	startGateway(relay);
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return store->get(kHolderKey).substr(0, 2) == "g2"; }));
	startGateway(settings(3));
	gateways[1]->stop();
	// Counts of a large fleet, most of whose gateways are gone: more than one gateway hands on to another.
	constexpr std::uint64_t kWindows = 20;
	constexpr unsigned kRuns = 40;
	const auto now = std::chrono::system_clock::now().time_since_epoch();
	const auto current = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(now).count());
	RunCounts counts;
	for (std::uint64_t window = current; window < current + kWindows; ++window)
	{
		for (unsigned run = 0; run < kRuns; ++run)
		{
			counts.push_back({{"gone" + std::to_string(run), 1}, {window, "t", 1}});
		}
	}
	const std::string text = encodeRunCounts(counts);
	ASSERT_GT(text.size(), ContentHistory::kValueBytes);
	store->put(kCountsKey, text);
	std::map<std::uint64_t, std::uint64_t> reported;
	const auto enough = [&]
	{
		for (const standin::DutyCall& call : duties->calls())
		{
			const Json body = Json::parse(call.body);
			if (call.holder == "g3" && body.at("windowId") > current)
			{
				reported[body.at("windowId").get<std::uint64_t>()] = body.at("counts").value("t", 0u);
			}
		}
		return reported.size() >= 3;
	};
	ASSERT_TRUE(await(enough, 12 * kSecond));
	for (const auto& [window, count] : reported)
	{
		EXPECT_EQ(count, kRuns) << "window " << window - current << " after the holder's end";
	}
}

TEST_F(GatewayTest, theDutiesPassToAnotherWithALargerFence)
{
	startGateway(settings(1));
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	const std::string first = store->get("beacongate/holder");
	const std::uint64_t fence = std::strtoull(store->get("beacongate/fence").c_str(), nullptr, 10);
	gateways[first.substr(0, 2) == "g1" ? 0 : 1]->stop();
	const auto passed = [&]
	{
		const std::string holder = store->get("beacongate/holder");
		return !holder.empty() && holder != first;
	};
	EXPECT_TRUE(await(passed, 8 * kSecond));
	EXPECT_GT(std::strtoull(store->get("beacongate/fence").c_str(), nullptr, 10), fence);
}

} // namespace beacongate::test
