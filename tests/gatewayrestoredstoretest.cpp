// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against gateways keeping to what a store has lost that was restored from a copy.

#include "gatewayfixture.h"

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
		EXPECT_EQ(statusOf(call("GET", "/safe/", "e", "key", 1)), 401u);
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

} // namespace beacongate::test
