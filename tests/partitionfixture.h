// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Fixture with a gateway whose path to the backend servers can be cut.

#ifndef BEACONGATE_TESTS_PARTITIONFIXTURE_H
#define BEACONGATE_TESTS_PARTITIONFIXTURE_H

#include "gatewayfixture.h"
#include "soak/faultproxy.h"

namespace beacongate::test
{
inline constexpr unsigned kPartitioned = 1;
inline constexpr unsigned kOther = 2;
inline constexpr unsigned kServers = 4;
inline constexpr unsigned kRequests = 40;

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
			proxies.push_back(
				std::make_unique<soak::FaultProxy>(proxyOf(number), Address{host(100 + number), kWorkerPort}));
			proxyStore->put("servers/" + workerId(number), standin::formatRecord(proxyOf(number), 4, "ready"));
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

	Address proxyOf(unsigned _number) const
	{
		return {host(150 + _number), kWorkerPort};
	}

	void cut(bool _resetOpen = true)
	{
		for (auto& proxy : proxies)
		{
			proxy->setListening(false, _resetOpen);
		}
	}

	void heal()
	{
		for (auto& proxy : proxies)
		{
			proxy->setListening(true);
		}
	}

	unsigned servedOf(const std::string& _method, const std::string& _path, const std::string& _name,
					  unsigned _gateway = kPartitioned)
	{
		unsigned served = 0;
		for (unsigned number = 0; number < kRequests; ++number)
		{
			const std::string answer = call(_method, _path, _name + std::to_string(number), "key", _gateway);
			served += statusOf(answer) == 200 ? 1 : 0;
		}
		return served;
	}

	/// Sends as many requests at once as two servers have slots, so that they go to several servers.
	void callAtOnce(const std::string& _name)
	{
		std::vector<std::thread> threads;
		for (unsigned number = 0; number < 8; ++number)
		{
			threads.emplace_back([this, id = _name + std::to_string(number)]
								 { call("GET", "/stream/again/", id); });
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
	}

	unsigned allRunsOf(const std::string& _id)
	{
		unsigned runs = 0;
		for (auto& worker : workers)
		{
			runs += worker->runsOf(_id);
		}
		return runs;
	}

	/// @returns a gateway's metric, or an empty string.
	std::string metric(const std::string& _name, unsigned _gateway)
	{
		Caller caller({host(_gateway), kControlPort});
		caller.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		const std::string text = caller.receiveUntil("");
		const std::size_t at = text.find("\n" + _name + " ");
		return at == std::string::npos
				   ? ""
				   : text.substr(at + _name.size() + 2, text.find('\n', at + 1) - at - _name.size() - 2);
	}

	std::unique_ptr<standin::PlatformStore> proxyStore;
	std::vector<std::unique_ptr<soak::FaultProxy>> proxies;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_PARTITIONFIXTURE_H
