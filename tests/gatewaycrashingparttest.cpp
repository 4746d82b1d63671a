// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests with a prompt part that crashes their backend servers being sent to one after the other.

#include "gatewayfixture.h"

#include <algorithm>
#include <thread>

namespace beacongate::test
{
namespace
{
/// From the fifth crash on, the gateways have this long to stop requests with the part.
constexpr Micros kContactSpan = 3 * kSecond;
/// Requests with the part that may be sent later than that, over all gateways.
constexpr unsigned kMaxLateSends = 3;
constexpr std::size_t kCrashesKnown = 5;
constexpr unsigned kServers = 8;
constexpr unsigned kGateways = 2;
constexpr const char* kCrashingPart = "dead01";
constexpr const char* kSharedPart = "5e1f";
/// Share of the sound requests that are served from twice the contact span on.
constexpr double kServedShare = 0.9;
} // namespace

class GatewayCrashingPartTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		addWorkers(kServers);
		for (unsigned number = 1; number <= kServers; ++number)
		{
			standin::WorkerCrashRule rule;
			rule.parts = {kCrashingPart};
			rule.downtime = 2 * kSecond;
			rule.onRestart = [this, number]
			{
				registerWorker(number, "ready", standin::kFirstStartTimeMs + ++m_restarts);
			};
			workers[number - 1]->setCrashRule(rule);
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		ASSERT_TRUE(await([&] { return statusOf(sendStream("first", "5e1f:9,1:2")) == 200; }));
	}

	/// Sends a request that is unlike any other but for its parts.
	std::string sendStream(const std::string& _id, const std::string& _parts)
	{
		const unsigned gateway = 1 + ++m_sent % kGateways;
		Caller caller({host(gateway), kCallerPort});
		const std::string headers = std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n" +
									platform::kTokenCounts + ": 20,8\r\n" + platform::kPromptParts + ": " + _parts +
									"\r\n";
		caller.sendBytes(request("POST", "/stream/again/", _id, headers, "body of " + _id));
		return caller.receiveUntil("", 6 * kSecond);
	}

	/// @returns the parts of a request whose last part is its own.
	static std::string partsWith(const std::string& _middle, unsigned _number)
	{
		char last[16];
		std::snprintf(last, sizeof last, "%x", 0x10000 + _number);
		return std::string(kSharedPart) + ":9," + (_middle.empty() ? "" : _middle + ":5,") + last + ":2";
	}

	/// Calls a function for a while, from as many threads as given.
	void repeat(Micros _span, unsigned _threads, Micros _pause, const std::function<void(unsigned)>& _call)
	{
		const Micros end = monotonicNow() + _span;
		for (unsigned thread = 0; thread < _threads; ++thread)
		{
			m_threads.emplace_back(
				[end, thread, _threads, _pause, _call]
				{
					for (unsigned number = thread; monotonicNow() < end; number += _threads)
					{
						_call(number);
						std::this_thread::sleep_for(std::chrono::microseconds(_pause));
					}
				});
		}
	}

	void join()
	{
		for (std::thread& thread : m_threads)
		{
			thread.join();
		}
		m_threads.clear();
	}

	std::vector<Micros> crashTimes()
	{
		std::vector<Micros> times;
		for (const auto& worker : workers)
		{
			for (const standin::WorkerCrash& crash : worker->crashes())
			{
				times.push_back(crash.at);
			}
		}
		std::sort(times.begin(), times.end());
		return times;
	}

	/// @returns the number of requests with the crashing part that servers began to run after a moment.
	unsigned crashingRunsAfter(Micros _moment)
	{
		unsigned count = 0;
		for (const auto& worker : workers)
		{
			for (const standin::WorkerRun& run : worker->runs())
			{
				const std::string parts(findHeader(run.headers, platform::kPromptParts));
				count += has(parts, std::string(",") + kCrashingPart + ":") && run.began > _moment ? 1 : 0;
			}
		}
		return count;
	}

private:
	std::atomic<unsigned> m_sent = 0;
	std::atomic<unsigned> m_restarts = 0;
	std::vector<std::thread> m_threads;
};

TEST_F(GatewayCrashingPartTest, requestsWithAPartThatCrashedFiveServersAreNotSentAgain)
{
	repeat(10 * kSecond, 1, 100 * kMillisecond,
		   [this](unsigned _number)
		   { sendStream("c" + std::to_string(_number), partsWith(kCrashingPart, _number)); });
	join();
	const std::vector<Micros> times = crashTimes();
	ASSERT_GE(times.size(), 3u);
	const Micros known = times.size() < kCrashesKnown ? times.back() : times[kCrashesKnown - 1];
	EXPECT_LE(crashingRunsAfter(known + kContactSpan), kMaxLateSends) << times.size() << " crashes in all";
}

TEST_F(GatewayCrashingPartTest, soundRequestsThatShareTheOtherPartsAreServed)
{
	std::atomic<unsigned> sent = 0;
	std::atomic<unsigned> served = 0;
	std::atomic<unsigned> refusedForGood = 0;
	const Micros judgedFrom = monotonicNow() + 2 * kContactSpan;
	repeat(12 * kSecond, 4, 100 * kMillisecond,
		   [&, this](unsigned _number)
		   {
			   const bool judged = monotonicNow() >= judgedFrom;
			   const std::string answer = sendStream("s" + std::to_string(_number),
													 partsWith(_number % 3 == 0 ? "" : "beef02", 5000 + _number));
			   refusedForGood += statusOf(answer) == 400 ? 1 : 0;
			   sent += judged ? 1 : 0;
			   served += judged && statusOf(answer) == 200 && answer.ends_with("0\r\n\r\n") ? 1 : 0;
		   });
	repeat(12 * kSecond, 1, 100 * kMillisecond,
		   [this](unsigned _number)
		   { sendStream("c" + std::to_string(_number), partsWith(kCrashingPart, _number)); });
	join();
	EXPECT_GE(served, kServedShare * sent) << served << " of " << sent << ", " << crashTimes().size() << " crashes";
	EXPECT_EQ(refusedForGood, 0u);
}

} // namespace beacongate::test
