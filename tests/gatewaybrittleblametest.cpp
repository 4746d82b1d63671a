// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests being blocked as crashing because they ran on brittle servers that fell over.

#include "gatewayfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kServers = 4;
constexpr unsigned kRoom = 2; ///< Of four slots.
constexpr unsigned kCallers = 32;
constexpr unsigned kGateways = 4;
constexpr Micros kCallTime = 100 * kMillisecond;
constexpr Micros kOverloadSpan = 8 * kSecond;
constexpr Micros kDowntime = 500 * kMillisecond;
} // namespace

class GatewayBrittleBlameTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		for (unsigned number = 1; number <= kServers; ++number)
		{
			standin::WorkerCrashRule rule;
			rule.downtime = kDowntime;
			rule.onRestart = [this, number, born = standin::kFirstStartTimeMs]() mutable
			{
				registerWorker(number, "ready", ++born);
			};
			workers[number - 1]->setCrashRule(rule);
			workers[number - 1]->setCallTime(kCallTime);
			// It bears no rejection, so that gateways have to take its slots for its room.
			workers[number - 1]->setBrittle(0);
			workers[number - 1]->setRoom(kRoom);
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
	}

	/// Sends the same request again and again from several callers.
	void overload()
	{
		std::vector<std::thread> threads;
		const Micros end = monotonicNow() + kOverloadSpan;
		for (unsigned caller = 0; caller < kCallers; ++caller)
		{
			threads.emplace_back(
				[this, caller, end]
				{
					for (unsigned number = 0; monotonicNow() < end; ++number)
					{
						const std::string id = std::to_string(caller) + '-' + std::to_string(number);
						call("POST", "/safe/lookup", id, "key", 1 + caller % kGateways);
						std::this_thread::sleep_for(std::chrono::milliseconds(20));
					}
				});
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
	}
};

TEST_F(GatewayBrittleBlameTest, requestsThatRanOnServersThatFellOverAreNotBlocked)
{
	overload();
	unsigned falls = 0;
	for (auto& worker : workers)
	{
		worker->setRoom(0);
		falls += static_cast<unsigned>(worker->crashes().size());
	}
	EXPECT_GE(falls, 3u) << "too few falls to block a request";
	std::this_thread::sleep_for(std::chrono::seconds(2));
	EXPECT_EQ(statusOf(call("POST", "/safe/lookup", "last")), 200u);
}

} // namespace beacongate::test
