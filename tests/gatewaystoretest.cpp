// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of whole gateways and the store: configuration, outages, relays and duties.

#include "gatewayfixture.h"

namespace beacongate::test
{
TEST_F(GatewayTest, newConfigurationIsAppliedAndARevokedKeyRefused)
{
	startGateway(settings(1));
	ASSERT_EQ(statusOf(call("GET", "/safe/", "r1")), 200u);
	store->put(platform::kConfigKey, config(2, {"other"}));
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r2")) == 401; }, 2 * kSecond));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r3", "other")), 200u);
	store->put(platform::kConfigKey, "{\"version\": 3}");
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	EXPECT_EQ(statusOf(call("GET", "/safe/", "r4", "other")), 200u)
		<< "an invalid configuration must not replace the last valid one";
}

TEST_F(GatewayTest, storeOutageRefusesKeysInTimeButServesAnonymousRequests)
{
	startGateway(settings(1));
	for (const StoreFault fault : {StoreFault::Busy, StoreFault::Silent})
	{
		store->setFault(fault);
		const Micros outageStart = monotonicNow();
		EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r1")) == 503; }, 3 * kSecond));
		EXPECT_LT(monotonicNow() - outageStart, 3 * kSecond);
		EXPECT_TRUE(has(call("GET", "/safe/", "r2"), "Retry-After"));
		EXPECT_EQ(statusOf(call("GET", "/open/", "r3", "")), 200u);
		EXPECT_FALSE(isReady({host(1), kReadyPort}));
		store->setFault(StoreFault::None);
		EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r4")) == 200; }, 4 * kSecond));
		EXPECT_TRUE(await([&] { return isReady({host(1), kReadyPort}); }, 2 * kSecond));
	}
}

TEST_F(GatewayTest, gatewayWithoutStoreAccessGetsContentFromAPeer)
{
	startGateway(settings(1));
	GatewaySettings isolated = settings(2);
	isolated.store = {host(201), kStorePort};
	startGateway(isolated);
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
	const auto callsIn = [&](Micros _span)
	{
		const unsigned before = store->calls();
		std::this_thread::sleep_for(std::chrono::microseconds(_span));
		return store->calls() - before;
	};
	startGateway(settings(1));
	std::this_thread::sleep_for(std::chrono::seconds(2));
	const unsigned callsOfOneGateway = callsIn(4 * kSecond);
	for (unsigned number = 2; number <= kGateways; ++number)
	{
		startGateway(settings(number));
	}
	std::this_thread::sleep_for(std::chrono::seconds(2));
	// Each other gateway renews the lease of its registration, and one may also hold the duties.
	EXPECT_LT(callsIn(4 * kSecond), 2 * callsOfOneGateway);
	// The relay stops: the others read the store themselves, and still learn of changes.
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
	EXPECT_EQ(workers[0]->runs().size(), runs) << "a removed record is used by a gateway that asks its relay";
}

TEST_F(GatewayTest, serversWhoseRecordsExpireInAnOutageStayInUse)
{
	GatewaySettings gatewaySettings = settings(1);
	gatewaySettings.revocationSpan = 6 * kSecond; // Keys stay confirmed over the outage and the next read.
	startGateway(gatewaySettings);
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

TEST_F(GatewayTest, changesArriveAfterTheStoreLostItsHistory)
{
	startGateway(settings(1));
	store->put("servers/" + workerId(1), Json{{"service", "s"}}.dump()); // An invalid record, which is ignored.
	store->compactHistory();
	store->put(platform::kConfigKey, config(2, {"other"}));
	store->compactHistory();
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "r1", "other")) == 200; }, 2 * kSecond));
}

TEST_F(GatewayTest, oneUsageReportPerWindowWhenTheStoreLosesAnswers)
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

TEST_F(GatewayTest, streamThatRanIsCountedWhenItsAnswerFailedOrWasLost)
{
	startGateway(settings(1));
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	setFaults(WorkerFault::Fails);
	EXPECT_EQ(statusOf(call("GET", "/stream/once/", "failed")), 500u);
	setFaults(WorkerFault::Resets);
	EXPECT_EQ(statusOf(call("GET", "/stream/once/", "lost")), 502u);
	setFaults(WorkerFault::Rejects);
	EXPECT_EQ(statusOf(call("GET", "/stream/once/", "rejected")), 503u);
	const auto counted = [&]
	{
		std::map<std::uint64_t, std::uint64_t> windows;
		for (const standin::DutyCall& report : duties->calls())
		{
			const Json body = parseJson(report.body, Failure::Internal);
			windows[body.at("windowId").get<std::uint64_t>()] = body.at("counts").value("t", std::uint64_t{0});
		}
		std::uint64_t sum = 0;
		for (const auto& [window, count] : windows)
		{
			sum += count;
		}
		return sum;
	};
	EXPECT_TRUE(await([&] { return counted() == 2; }, 6 * kSecond)) << counted() << " counted, but two ran";
	std::this_thread::sleep_for(std::chrono::seconds(1));
	EXPECT_EQ(counted(), 2u) << "a rejected request was counted";
}

TEST_F(GatewayTest, usageCountsSurviveARestartOfAllGateways)
{
	GatewaySettings gatewaySettings = settings(1);
	gatewaySettings.usageWindow = 4 * kSecond;
	startGateway(gatewaySettings);
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	// A new holder writes no counts before it has read those of its predecessor, 1.2 s after it acquired the
	// duties.
	std::this_thread::sleep_for(std::chrono::milliseconds(1600));
	// The requests must fall into one window, with time to spare.
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
	startGateway(gatewaySettings);
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

TEST_F(GatewayTest, newDutyHolderReadsTheStoredCountsFirst)
{
	GatewaySettings relay = settings(1);
	relay.dutyApi.reset();
	startGateway(relay);
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return store->get(kHolderKey).substr(0, 2) == "g2"; }));
	startGateway(settings(3));
	gateways[1]->stop();
	// Counts of a large fleet, most of whose gateways are gone: more than a relay passes on in an update.
	constexpr std::uint64_t kWindows = 20;
	constexpr unsigned kRuns = 130;
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
	const auto threeWindowsReported = [&]
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
	ASSERT_TRUE(await(threeWindowsReported, 12 * kSecond));
	for (const auto& [window, count] : reported)
	{
		EXPECT_EQ(count, kRuns) << "window " << window - current << " after the previous holder stopped";
	}
}

TEST_F(GatewayTest, nextDutyHolderHasALargerFencingToken)
{
	startGateway(settings(1));
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return !store->get("beacongate/holder").empty(); }));
	const std::string first = store->get("beacongate/holder");
	const std::uint64_t fence = std::strtoull(store->get("beacongate/fence").c_str(), nullptr, 10);
	gateways[first.substr(0, 2) == "g1" ? 0 : 1]->stop();
	const auto hasNewHolder = [&]
	{
		const std::string holder = store->get("beacongate/holder");
		return !holder.empty() && holder != first;
	};
	EXPECT_TRUE(await(hasNewHolder, 8 * kSecond));
	EXPECT_GT(std::strtoull(store->get("beacongate/fence").c_str(), nullptr, 10), fence);
}

} // namespace beacongate::test
