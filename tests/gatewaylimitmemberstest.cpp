// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against servers that name limits getting more, or callers less, while gateways stop, start and lapse.

#include "gatewayfixture.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 24;
constexpr double kLimit = 2.0; ///< Of each of the two servers.
/// One and a half times this and the slack are less than twice this, which two gateways that pace would send.
constexpr double kLargerLimit = 6.0;
constexpr unsigned kCallers = 16;
constexpr Micros kCallerPause = 200 * kMillisecond;
/// Time from the first naming of a limit until it is kept.
constexpr Micros kContactSpan = 4 * kSecond;
constexpr Micros kWindow = 4 * kSecond;
constexpr double kTolerance = 1.5; ///< Factor on what a limit allows in a window.
constexpr double kSlack = 5.0;     ///< Requests in a window on top.
constexpr double kMinUsedShare = 0.8;
} // namespace

/// Two backend servers with limits, and callers that want several times as much.
class GatewayLimitMembersTest : public GatewayTest
{
protected:
	void TearDown() override
	{
		stopCallers();
		for (auto& gateway : gateways)
		{
			gateway->requestStop();
		}
	}

	/// @param[in] _limit Of each of the two servers.
	void start(unsigned _gateways, double _limit = kLimit)
	{
		m_limit = _limit;
		for (unsigned number = 1; number <= _gateways; ++number)
		{
			startGateway(settings(number));
			m_up[number - 1] = true;
		}
		pause(2 * kSecond); // All gateways know of each other.
		for (auto& worker : workers)
		{
			worker->setLimit(std::to_string(_limit));
		}
		for (unsigned caller = 0; caller < kCallers; ++caller)
		{
			m_callers.emplace_back([this, caller] { callUntilStopped(caller); });
		}
		pause(kContactSpan);
	}

	/// Adds gateways, which callers use as soon as they are ready.
	void add(unsigned _count)
	{
		for (unsigned added = 0; added < _count; ++added)
		{
			const auto number = static_cast<unsigned>(gateways.size()) + 1;
			startGateway(settings(number));
			m_up[number - 1] = true;
		}
	}

	/// Stops a gateway and starts it again.
	void restart(unsigned _number)
	{
		m_up[_number - 1] = false;
		gateways[_number - 1].reset();
		gateways[_number - 1] = std::make_unique<RunningGateway>(settings(_number));
		ASSERT_TRUE(await([&] { return isReady(settings(_number).readiness); }));
		m_up[_number - 1] = true;
	}

	/// Restarts all gateways, one after the other, in several series at once.
	void restartAll(unsigned _series)
	{
		restartFirst(static_cast<unsigned>(gateways.size()), _series);
	}

	/// Restarts the first gateways in several series at once.
	void restartFirst(unsigned _count, unsigned _series)
	{
		std::vector<std::thread> threads;
		for (unsigned first = 1; first <= _series; ++first)
		{
			threads.emplace_back(
				[this, first, _count, _series]
				{
					for (unsigned number = first; number <= _count; number += _series)
					{
						restart(number);
					}
				});
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
	}

	static void pause(Micros _span)
	{
		std::this_thread::sleep_for(std::chrono::microseconds(_span));
	}

	void stopCallers()
	{
		m_stopped = true;
		for (std::thread& caller : m_callers)
		{
			caller.join();
		}
		m_callers.clear();
	}

	/// Checks all that the servers got since a moment, and that their limits were used.
	void expectKeptAndUsedSince(Micros _moment)
	{
		const Micros end = monotonicNow();
		stopCallers();
		for (auto& worker : workers)
		{
			std::vector<Micros> arrivals;
			for (const standin::WorkerArrival& arrival : worker->arrivals())
			{
				arrival.at >= _moment&& arrival.at <= end ? arrivals.push_back(arrival.at) : void();
			}
			std::sort(arrivals.begin(), arrivals.end());
			std::size_t most = 0;
			for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
			{
				const auto last = std::lower_bound(first, arrivals.end(), *first + kWindow);
				most = std::max(most, static_cast<std::size_t>(std::distance(first, last)));
			}
			EXPECT_LE(static_cast<double>(most), kTolerance * m_limit * secondsOf(kWindow) + kSlack);
			EXPECT_GE(static_cast<double>(arrivals.size()), kMinUsedShare * m_limit * secondsOf(end - _moment))
				<< "in " << secondsOf(end - _moment) << " s";
			std::cout << most << " in a window, " << arrivals.size() << " in " << secondsOf(end - _moment)
					  << " s\n";
		}
		EXPECT_EQ(m_unexplained, 0u) << "requests failed otherwise than by a refusal for want of room";
	}

private:
	void callUntilStopped(unsigned _caller)
	{
		for (unsigned round = 0; !m_stopped; ++round)
		{
			const unsigned number = 1 + (_caller * 7 + round) % static_cast<unsigned>(kMaxGateways);
			if (!m_up[number - 1])
			{
				continue;
			}
			const std::string id = std::to_string(_caller) + '-' + std::to_string(round);
			const unsigned status = statusOf(call("POST", "/unsafe/", id, "key", number));
			const bool wasUp = m_up[number - 1];
			m_unexplained += status != 200 && status != 503 && wasUp ? 1 : 0;
			pause(kCallerPause);
		}
	}

	static constexpr std::size_t kMaxGateways = 48;

	double m_limit = kLimit;
	std::array<std::atomic<bool>, kMaxGateways> m_up{};
	std::vector<std::thread> m_callers;
	std::atomic<bool> m_stopped = false;
	std::atomic<unsigned> m_unexplained = 0;
};

TEST_F(GatewayLimitMembersTest, limitIsKeptAndUsedWhileAllGatewaysRestartInSeries)
{
	start(kGateways);
	const Micros from = monotonicNow();
	restartAll(3);
	pause(kWindow);
	expectKeptAndUsedSince(from);
}

TEST_F(GatewayLimitMembersTest, limitIsKeptAndUsedAfterAllLeasesRanOut)
{
	start(kGateways);
	const Micros from = monotonicNow();
	store->endLeases();
	pause(10 * kSecond);
	expectKeptAndUsedSince(from);
}

TEST_F(GatewayLimitMembersTest, limitIsKeptAndUsedWhileHalfRestartAfterAllLeasesRanOut)
{
	start(kGateways, kLargerLimit);
	const Micros from = monotonicNow();
	store->endLeases();
	pause(kSecond);
	restartFirst(kGateways / 2, kGateways / 2);
	pause(2 * kWindow);
	expectKeptAndUsedSince(from);
}

TEST_F(GatewayLimitMembersTest, limitIsKeptAndUsedWhileTheFleetDoubles)
{
	start(kGateways);
	const Micros from = monotonicNow();
	add(kGateways);
	pause(kWindow);
	expectKeptAndUsedSince(from);
}

} // namespace beacongate::test
