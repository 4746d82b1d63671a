// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against brittle backend servers falling over under a fleet of gateways, each of which rarely meets them.

#include "gatewayfixture.h"

#include <atomic>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 40;
constexpr unsigned kSlots = 4; ///< As GatewayTest registers them.
constexpr Micros kContactSpan = 4 * kSecond;
constexpr Micros kBrittleSpan = 8 * kSecond;
constexpr Micros kDowntime = 2200 * kMillisecond;
constexpr unsigned kBorneRejections = 3;
constexpr Micros kCallerPause = 400 * kMillisecond;
constexpr double kMinServedShare = 0.9;

struct Load
{
	unsigned servers = 0;
	Micros callTime = 0;
	unsigned callers = 0; ///< Each sends a request every kCallerPause.
};

constexpr Load kFewServers{4, 60 * kMillisecond, 40};     // 0.38 of what the servers can run.
constexpr Load kManyServers{24, 200 * kMillisecond, 132}; // 0.69 of what they can run.
} // namespace

class GatewayBrittleFleetTest : public GatewayTest
{
protected:
	void start(const Load& _load)
	{
		m_load = _load;
		addWorkers(_load.servers);
		for (unsigned number = 1; number <= _load.servers; ++number)
		{
			standin::WorkerCrashRule rule;
			rule.downtime = kDowntime;
			rule.onRestart = [this, number, born = standin::kFirstStartTimeMs]() mutable
			{
				registerWorker(number, "ready", ++born);
			};
			workers[number - 1]->setCrashRule(rule);
			workers[number - 1]->setCallTime(_load.callTime);
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		std::this_thread::sleep_for(std::chrono::seconds(2)); // All gateways know of each other.
	}

	struct Calls
	{
		unsigned sent = 0;
		unsigned served = 0;
	};

	/// Sends requests at an even rate, each to another gateway, whatever became of earlier ones.
	Calls callFor(Micros _span, const std::string& _name)
	{
		std::atomic<unsigned> sent = 0;
		std::atomic<unsigned> served = 0;
		std::vector<std::thread> threads;
		const Micros start = monotonicNow();
		for (unsigned caller = 0; caller < m_load.callers; ++caller)
		{
			threads.emplace_back(
				[&, caller]
				{
					const auto rounds = static_cast<unsigned>(_span / kCallerPause);
					for (unsigned round = 0; round < rounds; ++round)
					{
						const Micros due = start + round * kCallerPause + caller * kCallerPause / m_load.callers;
						std::this_thread::sleep_for(std::chrono::microseconds(due - monotonicNow()));
						const std::string id = _name + std::to_string(caller) + '-' + std::to_string(round);
						const std::string path = "/unsafe/" + id;
						++sent;
						served +=
							statusOf(call("POST", path, id, "key", 1 + (caller * 7 + round) % kGateways)) == 200;
					}
				});
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
		return {sent, served};
	}

	/// Makes all servers brittle, and after kContactSpan unable to let requests wait.
	void makeBrittle()
	{
		for (auto& worker : workers)
		{
			worker->setBrittle(kBorneRejections, kContactSpan);
		}
		callFor(kContactSpan, "a");
		for (auto& worker : workers)
		{
			worker->setRoom(kSlots);
		}
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

	void expectServersStandAndServe(const Load& _load)
	{
		start(_load);
		makeBrittle();
		const Calls calls = callFor(kBrittleSpan, "b");
		EXPECT_LE(falls(), 2 + _load.servers / 10);
		EXPECT_GE(calls.served, kMinServedShare * calls.sent) << "of " << calls.sent;
	}

private:
	Load m_load;
};

TEST_F(GatewayBrittleFleetTest, fewBrittleServersStandAndServeBeforeFortyGateways)
{
	expectServersStandAndServe(kFewServers);
}

TEST_F(GatewayBrittleFleetTest, manyBrittleServersStandAndServeBeforeFortyGateways)
{
	expectServersStandAndServe(kManyServers);
}

} // namespace beacongate::test
