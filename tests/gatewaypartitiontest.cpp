// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against callers being refused by a gateway that has no path to the backend servers of its own.

#include "partitionfixture.h"

#include <fcntl.h>

namespace beacongate::test
{
namespace
{
constexpr unsigned kPartitionedToo = 3;
/// Time from the begin of a partition until callers must be served as well as elsewhere.
constexpr Micros kContactSpan = 3 * kSecond;
constexpr Micros kCancelSpan = 500 * kMillisecond;

/// A listener whose queue of new connections is full, so that connecting to it hangs.
class HangingListener
{
public:
	explicit HangingListener(const Address& _address) : m_listener(socket(AF_INET, SOCK_STREAM, 0))
	{
		sockaddr_in target{};
		target.sin_family = AF_INET;
		target.sin_port = htons(_address.port);
		inet_pton(AF_INET, _address.host.c_str(), &target.sin_addr);
		const int on = 1;
		setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
		listening = bind(m_listener, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
					listen(m_listener, 0) == 0;
		for (int& filler : m_fillers)
		{
			filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
			static_cast<void>(connect(filler, reinterpret_cast<const sockaddr*>(&target), sizeof target));
		}
	}

	~HangingListener()
	{
		close(m_listener);
		for (const int filler : m_fillers)
		{
			close(filler);
		}
	}

	HangingListener(const HangingListener&) = delete;
	HangingListener& operator=(const HangingListener&) = delete;

	bool listening = false;

private:
	int m_listener;
	int m_fillers[4];
};
} // namespace

TEST_F(GatewayPartitionTest, gatewayWithoutAPathToTheServersServesItsCallers)
{
	cut();
	EXPECT_EQ(servedOf("POST", "/unsafe/", "a"), kRequests);
	EXPECT_EQ(servedOf("GET", "/stream/once/", "b"), kRequests);
	for (unsigned number = 0; number < kRequests; ++number)
	{
		EXPECT_EQ(allRunsOf("a" + std::to_string(number)), 1u) << number;
	}
}

TEST_F(GatewayPartitionTest, requestsAreServedIfOpenConnectionsOutliveThePartition)
{
	for (auto& worker : workers)
	{
		worker->setCallTime(kContactSpan);
	}
	Caller caller({host(kPartitioned), kCallerPort});
	caller.sendBytes(request("POST", "/unsafe/", "c",
							 std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n", "body"));
	ASSERT_TRUE(await([&] { return allRunsOf("c") == 1; }));
	cut(false);
	for (auto& worker : workers)
	{
		worker->setCallTime(0);
	}
	EXPECT_EQ(servedOf("POST", "/unsafe/", "c2"), kRequests);
	EXPECT_EQ(statusOf(caller.receiveUntil("")), 504u) << "the route allows 2 s";
}

TEST_F(GatewayPartitionTest, requestsAreServedWhileConnectionsToAllServersHang)
{
	cut();
	std::vector<std::unique_ptr<HangingListener>> listeners;
	for (unsigned number = 1; number <= kServers; ++number)
	{
		listeners.push_back(std::make_unique<HangingListener>(proxyOf(number)));
		ASSERT_TRUE(listeners.back()->listening);
	}
	servedOf("POST", "/unsafe/", "d");
	EXPECT_EQ(metric("beacongate_backends_unreachable", kPartitioned), "1");
	EXPECT_EQ(servedOf("POST", "/unsafe/", "d2"), kRequests);
}

TEST_F(GatewayPartitionTest, gatewayThatIsPartitionedItselfIsPassedOver)
{
	GatewaySettings third = settings(kPartitionedToo);
	third.store = {host(201), kStorePort};
	startGateway(third);
	ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first", "key", kPartitionedToo)) == 200; }));
	std::this_thread::sleep_for(std::chrono::seconds(1));
	cut();
	EXPECT_GE(servedOf("POST", "/unsafe/", "e"), kRequests - 2);
	EXPECT_GE(servedOf("POST", "/unsafe/", "e2", kPartitionedToo), kRequests - 2);
	EXPECT_EQ(servedOf("POST", "/unsafe/", "e3"), kRequests);
}

TEST_F(GatewayPartitionTest, directConnectionsAreUsedAgainAfterThePartition)
{
	cut();
	callAtOnce("f");
	EXPECT_EQ(metric("beacongate_backends_unreachable", kPartitioned), "1");
	heal();
	ASSERT_TRUE(await(
		[&]
		{
			call("GET", "/safe/", "f2");
			return metric("beacongate_backends_unreachable", kPartitioned) == "0";
		}));
	const std::string before = metric("beacongate_tunnels_provided", kOther);
	ASSERT_EQ(servedOf("POST", "/unsafe/", "f3"), kRequests);
	EXPECT_EQ(metric("beacongate_tunnels_provided", kOther), before);
}

TEST_F(GatewayPartitionTest, runBehindATunnelEndsWhenItsCallerLeaves)
{
	cut();
	setFaults(WorkerFault::Hangs);
	Caller caller({host(kPartitioned), kCallerPort});
	caller.sendBytes(request("GET", "/safe/", "g", std::string(platform::kApiKey) + ": key\r\n"));
	ASSERT_TRUE(await([&] { return allRunsOf("g") == 1; }));
	caller.disconnect();
	const auto ended = [&]
	{
		for (auto& worker : workers)
		{
			for (const standin::WorkerRun& run : worker->runs())
			{
				if (run.id == "g" && run.ended)
				{
					return true;
				}
			}
		}
		return false;
	};
	EXPECT_TRUE(await(ended, kCancelSpan));
}

TEST_F(GatewayPartitionTest, requestWhoseTunnelBreaksAfterItWasSentIsNotRepeatedAndNotCalledUnrun)
{
	cut();
	for (auto& worker : workers)
	{
		worker->setFault(WorkerFault::Resets);
	}
	const std::string answer = call("POST", "/unsafe/", "h");
	EXPECT_EQ(statusOf(answer), 502u) << answer;
	EXPECT_EQ(allRunsOf("h"), 1u);
}

TEST_F(GatewayPartitionTest, streamThatIsCutOffBehindATunnelDoesNotLookComplete)
{
	cut();
	for (auto& worker : workers)
	{
		worker->setFault(WorkerFault::CutsStream);
	}
	EXPECT_FALSE(has(call("GET", "/stream/once/", "i"), "\r\n0\r\n"));
}

TEST_F(GatewayPartitionTest, requestsWhoseConnectionsThePartitionResetAreNotTakenForCrashing)
{
	for (auto& worker : workers)
	{
		worker->setCallTime(kContactSpan);
	}
	std::vector<std::unique_ptr<Caller>> callers;
	for (unsigned number = 0; number < 8; ++number)
	{
		callers.push_back(std::make_unique<Caller>(Address{host(kPartitioned), kCallerPort}));
		callers.back()->sendBytes(request("POST", "/unsafe/", "j" + std::to_string(number),
										  std::string(platform::kApiKey) + ": key\r\n", "body"));
	}
	ASSERT_TRUE(await([&] { return allRunsOf("j0") + allRunsOf("j7") == 2; }));
	cut();
	for (auto& worker : workers)
	{
		worker->setCallTime(0);
	}
	std::this_thread::sleep_for(std::chrono::seconds(1));
	EXPECT_EQ(statusOf(call("POST", "/unsafe/", "j8")), 200u);
	EXPECT_EQ(statusOf(call("POST", "/unsafe/", "j9", "key", kOther)), 200u);
	EXPECT_EQ(metric("beacongate_requests_blocked", kPartitioned), "0");
	EXPECT_EQ(metric("beacongate_requests_suspected", kOther), "0");
}

TEST_F(GatewayPartitionTest, callersCannotOpenTunnels)
{
	const std::string answer = call("POST", std::string(kTunnelPath), "k");
	EXPECT_EQ(statusOf(answer), 404u) << answer;
}

TEST_F(GatewayPartitionTest, requestBehindATunnelEndsWellWhileTheOtherGatewayStops)
{
	cut();
	for (auto& worker : workers)
	{
		worker->setCallTime(kSecond);
	}
	Caller caller({host(kPartitioned), kCallerPort});
	caller.sendBytes(request("POST", "/unsafe/", "l",
							 std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n", "body"));
	ASSERT_TRUE(await([&] { return allRunsOf("l") == 1; }));
	gateways[kOther - 1]->requestStop();
	EXPECT_EQ(statusOf(caller.receiveUntil("")), 200u);
}

} // namespace beacongate::test
