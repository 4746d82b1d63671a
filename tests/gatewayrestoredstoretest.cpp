// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against gateways keeping to what a store has lost that was restored from a copy.

#include "gatewayfixture.h"
#include "protocol/json.h"

#include <ctime>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 4;
constexpr unsigned kWritesSinceCopy = 200;
constexpr Micros kOutage = 500 * kMillisecond;
/// Time from the store's word until a gateway must act by it.
constexpr Micros kApplySpan = 2 * kSecond;

void pause(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// Four gateways of two data centres, and a store that was written to since its copy was taken.
class GatewayRestoredStoreTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			GatewaySettings gateway = settings(number);
			gateway.dataCentre = number % 2 == 0 ? "z2" : "z1";
			startGateway(gateway);
		}
		ASSERT_TRUE(await([&] { return duties->calls().size() >= 2; }));
		store->takeCopy();
		for (unsigned number = 0; number < kWritesSinceCopy; ++number)
		{
			store->put("op/note", std::to_string(number));
		}
		pause(kSecond); // All gateways have read them.
	}

	/// Restores the copy after an outage. The operator's and the workers' records are written again.
	void restore(std::uint64_t _configVersion)
	{
		store->setFault(StoreFault::Silent);
		pause(kOutage);
		store->restoreCopy();
		store->setFault(StoreFault::None);
		pause(kOutage);
		store->put(platform::kConfigKey, config(_configVersion));
		for (unsigned number = 1; number <= workers.size(); ++number)
		{
			registerWorker(number, "ready");
		}
	}

	/// Sends requests to all gateways for a while.
	void callFor(Micros _span, const std::string& _name)
	{
		const Micros end = monotonicNow() + _span;
		for (unsigned number = 0; monotonicNow() < end; ++number)
		{
			call("GET", "/safe/", _name + std::to_string(number), "key", 1 + number % kGateways);
			pause(10 * kMillisecond);
		}
	}

	/// Checks that no window was reported with different counts, and that tokens rise from holder to holder.
	void expectOneHolder()
	{
		std::map<std::uint64_t, std::string> counts;
		std::map<std::uint64_t, std::string> holders;
		std::uint64_t newest = 0;
		for (const standin::DutyCall& made : duties->calls())
		{
			EXPECT_GE(made.fence, newest) << made.body;
			newest = std::max(newest, made.fence);
			EXPECT_EQ(holders.try_emplace(made.fence, made.holder).first->second, made.holder) << made.fence;
			if (made.target.find("usage") != std::string::npos)
			{
				const Json report = Json::parse(made.body);
				const auto window = report.at("windowId").get<std::uint64_t>();
				const std::string total = report.at("counts").dump();
				EXPECT_EQ(counts.try_emplace(window, total).first->second, total) << "window " << window;
			}
		}
		EXPECT_GE(holders.size(), 2u) << "the duties were taken again";
	}

	/// @returns the index of the gateway that made the last duty call.
	std::size_t holderIndex()
	{
		const std::string name = duties->calls().back().holder;
		return static_cast<std::size_t>(std::atoi(name.c_str() + 1)) - 1;
	}

	bool isServed(unsigned _gateway, const std::string& _key, const std::string& _id)
	{
		return statusOf(call("GET", "/safe/", _id, _key, _gateway)) == 200;
	}
};

TEST_F(GatewayRestoredStoreTest, configurationThatIsWrittenAfterTheRestoreIsInForceInTime)
{
	store->put(platform::kConfigKey, config(2));
	ASSERT_TRUE(await([&] { return isServed(1, "key", "a"); }));
	restore(2);
	store->put(platform::kConfigKey, config(3, {"key2"}));
	pause(kApplySpan);
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		EXPECT_TRUE(isServed(number, "key2", "a" + std::to_string(number))) << "gateway " << number;
		EXPECT_FALSE(isServed(number, "key", "b" + std::to_string(number))) << "gateway " << number;
	}
}

TEST_F(GatewayRestoredStoreTest, serverThatSaysAfterTheRestoreThatItLeavesGetsNoMoreRequests)
{
	restore(1);
	ASSERT_TRUE(isServed(1, "key", "c"));
	const unsigned leaving = workers[0]->runsOf("c") == 1 ? 1 : 2;
	registerWorker(leaving, "draining");
	pause(kApplySpan);
	for (unsigned number = 0; number < 5 * kGateways; ++number)
	{
		const std::string id = "c" + std::to_string(number);
		EXPECT_TRUE(isServed(1 + number % kGateways, "key", id));
		EXPECT_EQ(workers[leaving - 1]->runsOf(id), 0u) << id;
	}
}

TEST_F(GatewayRestoredStoreTest, configurationThatTheStoreLostStaysInForce)
{
	store->put(platform::kConfigKey, config(2, {"key2"}));
	ASSERT_TRUE(await([&] { return isServed(1, "key2", "d"); }));
	ASSERT_TRUE(await([&] { return isServed(2, "key2", "d2"); }));
	store->setFault(StoreFault::Silent);
	pause(kOutage);
	store->restoreCopy();
	store->setFault(StoreFault::None);
	const Micros end = monotonicNow() + kSecond;
	while (monotonicNow() < end)
	{
		EXPECT_FALSE(isServed(1, "key", "e"));
		EXPECT_TRUE(isServed(2, "key2", "e2"));
		pause(50 * kMillisecond);
	}
	store->put(platform::kConfigKey, config(2, {"key2"}));
}

TEST_F(GatewayRestoredStoreTest, serverThatLeftSinceTheCopyDoesNotComeBackWithIt)
{
	addWorkers(3);
	ASSERT_TRUE(await([&] { return isServed(1, "key", "f"); }));
	pause(kSecond);
	store->takeCopy();
	store->remove("servers/" + workerId(3));
	pause(kApplySpan);
	store->setFault(StoreFault::Silent);
	pause(kOutage);
	store->restoreCopy();
	store->setFault(StoreFault::None);
	const Micros end = monotonicNow() + kApplySpan;
	for (unsigned number = 0; monotonicNow() < end; ++number)
	{
		const std::string id = "g" + std::to_string(number);
		EXPECT_TRUE(isServed(1 + number % kGateways, "key", id));
		EXPECT_EQ(workers[2]->runsOf(id), 0u) << id;
		pause(20 * kMillisecond);
	}
}

TEST_F(GatewayRestoredStoreTest, serverThatCameSinceTheCopyIsUsedUntilItIsListedAgain)
{
	addWorkers(3);
	for (unsigned number = 1; number <= 2; ++number)
	{
		registerWorker(number, "draining");
	}
	ASSERT_TRUE(await([&] { return isServed(1, "key", "h") && workers[2]->runsOf("h") == 1; }));
	pause(kSecond);
	store->setFault(StoreFault::Silent);
	pause(kOutage);
	store->restoreCopy();
	store->setFault(StoreFault::None);
	const Micros end = monotonicNow() + kSecond;
	for (unsigned number = 0; monotonicNow() < end; ++number)
	{
		const std::string id = "i" + std::to_string(number);
		EXPECT_TRUE(isServed(1 + number % kGateways, "key", id));
		EXPECT_EQ(workers[2]->runsOf(id), 1u) << id;
		pause(20 * kMillisecond);
	}
}

TEST_F(GatewayRestoredStoreTest, holderThatTheStoreForgotReportsNoWindowTwice)
{
	callFor(2 * kSecond, "j");
	restore(1);
	callFor(8 * kSecond, "k");
	expectOneHolder();
}

TEST_F(GatewayRestoredStoreTest, successorOfAHolderThatTheStoreForgotReportsNoWindowTwice)
{
	callFor(2 * kSecond, "l");
	const std::size_t holder = holderIndex();
	store->setFault(StoreFault::Silent);
	gateways[holder]->stop();
	store->restoreCopy();
	store->setFault(StoreFault::None);
	callFor(10 * kSecond, "m");
	expectOneHolder();
}

TEST_F(GatewayRestoredStoreTest, gatewaysRegisterAgainAfterARestore)
{
	GatewaySettings late = settings(kGateways + 1);
	late.dataCentre = "z1";
	startGateway(late);
	ASSERT_TRUE(await([&] { return store->keys(std::string(kMemberPrefix)).size() == kGateways + 1; }));
	restore(1);
	EXPECT_TRUE(await([&] { return store->keys(std::string(kMemberPrefix)).size() == kGateways + 1; }, kApplySpan));
}

TEST_F(GatewayRestoredStoreTest, usageCountsThatCannotBeReadAreLeftOut)
{
	const auto window = static_cast<std::uint64_t>(std::time(nullptr));
	for (std::uint64_t number = window - 5; number < window + 5; ++number)
	{
		store->put(std::string(kUsagePrefix) + std::to_string(number), "\xff");
	}
	const std::size_t before = duties->calls().size();
	EXPECT_TRUE(await([&] { return duties->calls().size() > before; }, 12 * kSecond));
	EXPECT_TRUE(isServed(1, "key", "o"));
}

TEST_F(GatewayRestoredStoreTest, secondRestoreIsFollowedAsWell)
{
	restore(1);
	pause(kApplySpan);
	restore(1);
	store->put(platform::kConfigKey, config(5, {"key5"}));
	pause(kApplySpan);
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		EXPECT_TRUE(isServed(number, "key5", "n" + std::to_string(number))) << "gateway " << number;
	}
}

} // namespace beacongate::test
