// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests being refused because servers that have ended are tried before those that stand.

#include "gatewayfixture.h"

namespace beacongate::test
{
namespace
{
constexpr unsigned kServers = 6;
constexpr unsigned kRequests = 60;
constexpr Micros kMaxRefusalTime = 200 * kMillisecond;
} // namespace

/// One gateway and six backend servers whose records stand after their processes have ended.
class GatewayEndedServerTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		startGateway(settings(1));
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first")) == 200; }));
	}

	void endServers(unsigned _count, Micros _downtime)
	{
		for (unsigned number = 0; number < _count; ++number)
		{
			standin::WorkerCrashRule rule;
			rule.downtime = _downtime;
			workers[number]->setCrashRule(rule);
			workers[number]->crashNow();
		}
	}
};

TEST_F(GatewayEndedServerTest, requestsAreServedByTheServerThatIsLeft)
{
	endServers(kServers - 1, 60 * kSecond);
	unsigned served = 0;
	for (unsigned number = 0; number < kRequests; ++number)
	{
		served += statusOf(call("POST", "/unsafe/", "a" + std::to_string(number))) == 200 ? 1 : 0;
	}
	// The first request finds out which servers have ended.
	EXPECT_GE(served, kRequests - 2);
}

TEST_F(GatewayEndedServerTest, requestIsRefusedAtOnceWithRetryAfterIfAllHaveEnded)
{
	endServers(kServers, 60 * kSecond);
	for (unsigned number = 0; number < 4; ++number)
	{
		call("POST", "/unsafe/", "b" + std::to_string(number));
	}
	const Micros sent = monotonicNow();
	const std::string answer = call("POST", "/unsafe/", "b");
	EXPECT_LT(monotonicNow() - sent, kMaxRefusalTime);
	EXPECT_EQ(statusOf(answer), 503u) << answer;
	EXPECT_TRUE(has(answer, "Retry-After")) << answer;
}

TEST_F(GatewayEndedServerTest, serverThatIsBackUnderTheSameRecordIsUsedAgain)
{
	endServers(kServers, 300 * kMillisecond);
	call("POST", "/unsafe/", "c");
	EXPECT_TRUE(await([&] { return statusOf(call("POST", "/unsafe/", "c2")) == 200; }, 2 * kSecond));
}

} // namespace beacongate::test
