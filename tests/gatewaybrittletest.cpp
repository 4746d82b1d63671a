// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against brittle backend servers falling over because gateways send them more than they have room for.

#include "gatewayfixture.h"

#include <atomic>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 8;
constexpr unsigned kServers = 4;
constexpr unsigned kSlots = 4; ///< As GatewayTest registers them.
constexpr Micros kCallTime = 60 * kMillisecond;
constexpr Micros kRetryAfter = 100 * kMillisecond;
constexpr Micros kContactSpan = 3 * kSecond;
constexpr unsigned kBorneRejections = 4;
constexpr Micros kBrittleSpan = 8 * kSecond;
/// Requests that all servers can run in the span.
constexpr double kServedAtMost = 1.0 * kServers * kSlots * kBrittleSpan / kCallTime;
constexpr double kMinServedShare = 0.5;
} // namespace

/// Eight gateways, and four backend servers that run as many requests as they have slots.
class GatewayBrittleTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		for (auto& worker : workers)
		{
			worker->setRoom(kSlots);
			worker->setCallTime(kCallTime);
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		std::this_thread::sleep_for(std::chrono::seconds(1)); // All gateways know of each other.
	}

	/// Sends requests for a while from callers that send the next one at once, or some time after a refusal.
	/// @returns the requests that were served.
	unsigned callFor(Micros _span, unsigned _callers, const std::string& _name)
	{
		std::atomic<unsigned> served = 0;
		std::vector<std::thread> threads;
		const Micros end = monotonicNow() + _span;
		for (unsigned caller = 0; caller < _callers; ++caller)
		{
			threads.emplace_back(
				[&, caller]
				{
					for (unsigned number = 0; monotonicNow() < end; ++number)
					{
						const std::string id = _name + std::to_string(caller) + '-' + std::to_string(number);
						// Each request has its own path, so that none is taken for one that crashes servers.
						const std::string answer = call("POST", "/unsafe/" + id, id, "key", 1 + caller % kGateways);
						const bool done = statusOf(answer) == 200;
						served += done ? 1 : 0;
						std::this_thread::sleep_for(std::chrono::microseconds(done ? 0 : kRetryAfter));
					}
				});
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
		return served;
	}

	unsigned falls()
	{
		unsigned count = 0;
		for (auto& worker : workers)
		{
			count += static_cast<unsigned>(worker->crashes().size());
		}
		return count;
	}
};

TEST_F(GatewayBrittleTest, brittleServersDoNotFallOverUnderMoreRequestsThanTheyHaveRoomFor)
{
	for (auto& worker : workers)
	{
		worker->setBrittle(kBorneRejections, kContactSpan);
	}
	callFor(kContactSpan, 3 * kServers * kSlots, "a");
	const unsigned served = callFor(kBrittleSpan, 3 * kServers * kSlots, "b");
	EXPECT_LE(falls(), 2 + kServers / 10);
	EXPECT_GE(served, kMinServedShare * kServedAtMost);
}

} // namespace beacongate::test
