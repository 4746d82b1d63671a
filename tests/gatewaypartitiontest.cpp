// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against callers being refused by a gateway that has no path to the backend servers of its own.

#include "gatewayfixture.h"

#include "soak/faultproxy.h"

namespace beacongate::test
{
namespace
{
constexpr unsigned kPartitioned = 1;
constexpr unsigned kOther = 2;
constexpr unsigned kServers = 4;
constexpr unsigned kRequests = 40;
} // namespace

/// Two gateways in two data centres. The first one reads its own store, which names proxies in place of the backend
/// servers, so that its path to them can be cut.
class GatewayPartitionTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		proxyStore = std::make_unique<standin::PlatformStore>(Address{host(201), kStorePort});
		proxyStore->put(platform::kConfigKey, config(1));
		for (unsigned number = 1; number <= kServers; ++number)
		{
			const Address proxy{host(150 + number), kWorkerPort};
			proxies.push_back(std::make_unique<soak::FaultProxy>(proxy, Address{host(100 + number), kWorkerPort}));
			proxyStore->put("servers/" + workerId(number), standin::formatRecord(proxy, 4, "ready"));
		}
		GatewaySettings partitioned = settings(kPartitioned);
		partitioned.store = {host(201), kStorePort};
		GatewaySettings other = settings(kOther);
		other.dataCentre = "z2";
		startGateway(partitioned);
		startGateway(other);
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first")) == 200; }));
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first", "key", kOther)) == 200; }));
		std::this_thread::sleep_for(std::chrono::seconds(1)); // The gateways hear of each other.
	}

	void cut()
	{
		for (auto& proxy : proxies)
		{
			proxy->setListening(false);
		}
	}

	void heal()
	{
		for (auto& proxy : proxies)
		{
			proxy->setListening(true);
		}
	}

	unsigned servedOf(const std::string& _method, const std::string& _path, const std::string& _name)
	{
		unsigned served = 0;
		for (unsigned number = 0; number < kRequests; ++number)
		{
			served += statusOf(call(_method, _path, _name + std::to_string(number))) == 200 ? 1 : 0;
		}
		return served;
	}

	std::unique_ptr<standin::PlatformStore> proxyStore;
	std::vector<std::unique_ptr<soak::FaultProxy>> proxies;
};

TEST_F(GatewayPartitionTest, gatewayWithoutAPathToTheServersServesItsCallers)
{
	cut();
	EXPECT_EQ(servedOf("POST", "/unsafe/", "a"), kRequests);
	EXPECT_EQ(servedOf("GET", "/stream/once/", "b"), kRequests);
	for (unsigned number = 0; number < kRequests; ++number)
	{
		unsigned runs = 0;
		for (auto& worker : workers)
		{
			runs += worker->runsOf("a" + std::to_string(number));
		}
		EXPECT_EQ(runs, 1u) << number;
	}
}

} // namespace beacongate::test
