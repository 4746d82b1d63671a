// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Fixture in which most new connections go to one gateway of several for a while.

#ifndef BEACONGATE_TESTS_CROWDFIXTURE_H
#define BEACONGATE_TESTS_CROWDFIXTURE_H

#include "gatewayfixture.h"

#include <thread>
#include <vector>

namespace beacongate::test
{
/// Eight gateways and six backend servers.
class CrowdTest : public GatewayTest
{
protected:
	static constexpr unsigned kGateways = 8;
	static constexpr unsigned kServers = 6;
	/// Share of new connections that one gateway gets in a crowd.
	static constexpr double kCrowdShare = 0.9;
	/// In a crowd callers come more often by this factor.
	static constexpr double kCrowdRate = 1.5;
	/// Time for which the first moments of a crowd do not count.
	static constexpr Micros kContactSpan = 3 * kSecond;
	/// Requests must be served at the first attempt at least this many times as often as before the crowd.
	static constexpr double kServedShare = 0.75;

	/// What callers got at their first attempts.
	struct Counts
	{
		std::atomic<unsigned> sent = 0;
		std::atomic<unsigned> served = 0;
		std::atomic<unsigned> overQuota = 0; ///< 429; does not count.

		double servedShare() const
		{
			return static_cast<double>(served) / std::max(1u, sent - overQuota);
		}
	};

	/// @param[in] _team Limit of the callers' team; 0 requests a second for none.
	void start(const standin::SiteTeam& _team, Micros _callTime)
	{
		standin::SiteConfig siteConfig;
		siteConfig.version = 2;
		siteConfig.host = "h.example";
		siteConfig.keys = {"key"};
		siteConfig.teams = {_team};
		siteConfig.routes = {{"/safe/", "safe", 2}};
		store->put(platform::kConfigKey, standin::formatConfig(siteConfig));
		addWorkers(kServers);
		for (auto& worker : workers)
		{
			worker->setCallTime(_callTime);
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		// Gateways list each other, and the teams' limits come into force.
		std::this_thread::sleep_for(std::chrono::seconds(2));
	}

	/// Sends requests on new connections at a steady rate, each from a thread of its own.
	void send(Counts& _counts, Micros _span, double _ratePerSecond, double _crowdShare)
	{
		std::vector<std::thread> threads;
		std::minstd_rand random(1);
		const Micros end = monotonicNow() + _span;
		while (monotonicNow() < end)
		{
			const bool crowded = std::uniform_real_distribution<double>()(random) < _crowdShare;
			const auto gateway = static_cast<unsigned>(crowded ? 1 : 1 + random() % kGateways);
			threads.emplace_back([this, &_counts, gateway, id = "r" + std::to_string(++m_sent)]
								 { sendOne(_counts, gateway, id); });
			std::this_thread::sleep_for(std::chrono::duration<double>(1.0 / _ratePerSecond));
		}
		for (std::thread& thread : threads)
		{
			thread.join();
		}
	}

	/// Plays a crowd and checks that requests are served as before.
	void expectServedInACrowd(double _ratePerSecond)
	{
		Counts before;
		Counts onset;
		Counts crowd;
		send(before, 4 * kSecond, _ratePerSecond, 0.0);
		send(onset, kContactSpan, kCrowdRate * _ratePerSecond, kCrowdShare);
		send(crowd, 5 * kSecond, kCrowdRate * _ratePerSecond, kCrowdShare);
		EXPECT_GT(before.servedShare(), 0.0);
		EXPECT_GE(crowd.servedShare(), kServedShare * before.servedShare())
			<< crowd.served << " of " << crowd.sent << ", before " << before.served << " of " << before.sent;
	}

	static standin::SiteTeam team(double _ratePerSecond, double _burst)
	{
		standin::SiteTeam limited;
		limited.name = "limited";
		limited.key = kTeamKey;
		limited.ratePerSecond = _ratePerSecond;
		limited.burst = _burst;
		return limited;
	}

private:
	static constexpr const char* kTeamKey = "limited-key";

	void sendOne(Counts& _counts, unsigned _gateway, const std::string& _id)
	{
		Caller caller({host(_gateway), kCallerPort});
		const std::string headers = std::string(platform::kApiKey) + ": " + kTeamKey + "\r\nConnection: close\r\n";
		caller.sendBytes(request("POST", "/safe/", _id, headers, "body"));
		const unsigned status = statusOf(caller.receiveUntil("", 3 * kSecond));
		++_counts.sent;
		_counts.served += status == 200 ? 1 : 0;
		_counts.overQuota += status == 429 ? 1 : 0;
	}

	unsigned m_sent = 0;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_CROWDFIXTURE_H
