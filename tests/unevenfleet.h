// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Simulates the placement among servers of different speeds, in virtual time: docs/design/hard-load.md, "C".

#ifndef BEACONGATE_TESTS_UNEVENFLEET_H
#define BEACONGATE_TESTS_UNEVENFLEET_H

#include "coordination/balancer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate::test
{
inline constexpr unsigned kGateways = 86;
inline constexpr Micros kReportInterval = 400 * kMillisecond; ///< Largest age of a load report.
inline constexpr Micros kDisturbedSpan = 600 * kMillisecond;
inline constexpr double kDisturbedShare = 0.15;
inline constexpr double kDisturbance = 2.5;
inline constexpr std::array<double, 3> kSlowdowns = {0.6, 1.0, 1.6};
/// Work that a disturbed server does on average, relative to one that nothing disturbs.
inline constexpr double kMeanRate = 1.0 - kDisturbedShare + kDisturbedShare / kDisturbance;

/// Servers and requests of one service.
struct Workload
{
	unsigned servers = 0;
	unsigned slots = 0;   ///< Slots of a server.
	unsigned workers = 0; ///< Requests that a server works on at once; the others wait in order of arrival.
	bool prompts = false;
	double usualMillis = 0.0;  ///< Mean time of a request at a server of the usual speed.
	double targetMillis = 0.0; ///< A request is late if its answer, or its first event, takes longer.
};

/// Engines that read 30 prompt tokens a millisecond, one prompt after the other.
inline constexpr Workload kPrompts{140, 16, 1, true, 100.0, 1000.0};
/// An application whose servers run six calls at once.
inline constexpr Workload kCalls{42, 6, 6, false, 20.0, 120.0};

/// Servers of the same total capacity.
enum class Fleet
{
	Undisturbed, ///< All servers have the same speed, and nothing disturbs them.
	Even,        ///< All servers have the same speed, and some are disturbed.
	Uneven,      ///< Speeds differ, some servers are disturbed, and the gateways know the speeds that they report.
	UnevenBlind  ///< As Uneven, but the gateways do not know the speeds.
};

struct Result
{
	/// @returns the share of requests that were late.
	double lateShare() const
	{
		return static_cast<double>(late) / requests;
	}

	unsigned late = 0;
	unsigned requests = 0;
};

/// 86 gateways place requests among servers of one service, in virtual time.
class UnevenSimulation
{
public:
	UnevenSimulation(const Workload& _work, Fleet _fleet, double _load, unsigned _seed)
		: m_work(_work), m_fleet(_fleet), m_random(_seed), m_servers(_work.servers), m_speeds(kGateways)
	{
		double rate = 0.0;
		m_known.reserve(_work.servers);
		for (unsigned number = 0; number < _work.servers; ++number)
		{
			m_servers[number].slowdown = kSlowdowns[number % kSlowdowns.size()];
			rate += kMeanRate / m_servers[number].slowdown;
			KnownBackend backend;
			backend.record.id = "s" + std::to_string(number);
			backend.record.slots = _work.slots;
			backend.key = BackendKey(backend.record.id);
			m_known.push_back(backend);
			m_numbers[backend.key] = number;
		}
		for (unsigned number = 0; number < _work.servers; ++number)
		{
			double& slowdown = m_servers[number].slowdown;
			slowdown = _fleet == Fleet::Undisturbed ? _work.servers / rate : slowdown;
			slowdown = _fleet == Fleet::Even ? kMeanRate * _work.servers / rate : slowdown;
			m_candidates.push_back(&m_known[number]);
		}
		m_betweenArrivals = _work.usualMillis * static_cast<double>(kMillisecond) / (_load * rate * _work.workers);
		m_balancers.reserve(kGateways);
		for (unsigned number = 0; number < kGateways; ++number)
		{
			m_balancers.emplace_back("a", _seed * kGateways + number + 1,
									 _fleet == Fleet::Uneven ? &m_speeds[number] : nullptr);
			m_balancers.back().setManyGateways(true);
		}
	}

	Result run()
	{
		constexpr Micros kWarmUp = 4 * kSecond;
		constexpr Micros kEnd = 16 * kSecond;
		std::exponential_distribution<double> pause(1.0 / m_betweenArrivals);
		Micros nextReports = 0;
		Micros nextDisturbance = 0;
		for (double arrival = 0.0; arrival < static_cast<double>(kEnd); arrival += pause(m_random))
		{
			m_now = static_cast<Micros>(arrival);
			if (m_now >= nextDisturbance)
			{
				disturb();
				nextDisturbance += kDisturbedSpan / 6;
			}
			finishUntil(m_now);
			for (; nextReports <= m_now; nextReports += kReportInterval / kGateways)
			{
				reportLoads();
			}
			m_counted = m_now >= kWarmUp;
			place();
		}
		return m_result;
	}

private:
	struct Request
	{
		unsigned gateway = 0;
		unsigned server = 0;
		Micros arrived = 0;
		double millis = 0.0; ///< Time that it needs at a server of the usual speed.
		bool counted = false;
		PlacementRequest placement;
	};

	struct Server
	{
		double slowdown = 1.0;
		Micros disturbedUntil = 0;
		unsigned running = 0;
		std::deque<Request> waiting;
	};

	struct End
	{
		Micros at = 0;
		Request request;

		bool operator<(const End& _other) const
		{
			return at > _other.at;
		}
	};

	double slowdownOf(const Server& _server) const
	{
		return _server.slowdown * (_server.disturbedUntil > m_now ? kDisturbance : 1.0);
	}

	/// Disturbs as many servers as needed for their share, each for the whole span.
	void disturb()
	{
		if (m_fleet == Fleet::Undisturbed)
		{
			return;
		}
		constexpr double kPerTick = kDisturbedShare / 6.0;
		m_due += kPerTick * m_work.servers;
		for (; m_due >= 1.0; m_due -= 1.0)
		{
			Server* server = &m_servers[m_random() % m_servers.size()];
			while (server->disturbedUntil > m_now)
			{
				server = &m_servers[m_random() % m_servers.size()];
			}
			server->disturbedUntil = m_now + kDisturbedSpan;
		}
	}

	void place()
	{
		Request request;
		request.gateway = static_cast<unsigned>(m_random() % kGateways);
		request.arrived = m_now;
		request.counted = m_counted;
		request.millis = m_work.usualMillis * std::gamma_distribution<double>(2.0, 0.5)(m_random);
		PlacementRequest& placement = request.placement;
		placement.byEstimate = m_fleet != Fleet::UnevenBlind;
		if (m_work.prompts)
		{
			constexpr double kTokensPerMilli = 30.0;
			placement.promptTokens = static_cast<std::uint64_t>(1.0 + request.millis * kTokensPerMilli);
			placement.tokensPerMilli = kTokensPerMilli;
		}
		Balancer& balancer = m_balancers[request.gateway];
		const Placement chosen = balancer.choose(m_candidates, placement, {}, m_now);
		placement.expectedTokens = chosen.expectedTokens;
		request.server = m_numbers.at(chosen.backend->key);
		balancer.onSent(chosen.backend->key, placement);
		Server& server = m_servers[request.server];
		server.running < m_work.workers ? start(server, request) : server.waiting.push_back(request);
	}

	void start(Server& _server, const Request& _request)
	{
		++_server.running;
		const double millis = _request.millis * slowdownOf(_server);
		m_ends.push({m_now + static_cast<Micros>(millis * static_cast<double>(kMillisecond)), _request});
	}

	void finishUntil(Micros _now)
	{
		for (; !m_ends.empty() && m_ends.top().at <= _now; m_ends.pop())
		{
			const Request request = m_ends.top().request;
			m_now = m_ends.top().at;
			Server& server = m_servers[request.server];
			const BackendKey key = m_known[request.server].key;
			const ServerLoad load{server.running, static_cast<unsigned>(server.waiting.size()), m_work.slots,
								  slowdownOf(server)};
			m_speeds[request.gateway].onLoad(key, load, m_now);
			m_balancers[request.gateway].onFirstEvent(key, request.placement);
			m_balancers[request.gateway].onEnded(key, request.placement, true);
			const double millis = static_cast<double>(m_now - request.arrived) / static_cast<double>(kMillisecond);
			m_result.requests += request.counted ? 1 : 0;
			m_result.late += request.counted && millis > m_work.targetMillis ? 1 : 0;
			--server.running;
			if (!server.waiting.empty())
			{
				const Request next = server.waiting.front();
				server.waiting.pop_front();
				start(server, next);
			}
		}
		m_now = _now;
	}

	/// Gives the next gateway the present load of all others, and the others the speeds that it has learnt.
	void reportLoads()
	{
		const std::size_t receiver = m_reporting++ % kGateways;
		std::unordered_map<BackendKey, BackendLoad, BackendKeyHash> sums;
		for (std::size_t peer = 0; peer < kGateways; ++peer)
		{
			for (const BackendLoad& load :
				 peer == receiver ? std::vector<BackendLoad>() : m_balancers[peer].ownLoads())
			{
				BackendLoad& sum = sums[load.key];
				sum.key = load.key;
				sum.inFlight += load.inFlight;
				sum.pendingTokens += load.pendingTokens;
			}
		}
		std::vector<BackendLoad> loads;
		loads.reserve(sums.size());
		for (const auto& [key, load] : sums)
		{
			loads.push_back(load);
		}
		m_balancers[receiver].setPeerLoads("others", std::move(loads), m_now);
		constexpr std::size_t kMostReports = 128;
		for (const SpeedReport& report : m_speeds[receiver].takeReports(false, kMostReports))
		{
			for (std::size_t peer = 0; peer < kGateways; ++peer)
			{
				peer == receiver ? void() : m_speeds[peer].onReport(report, m_now);
			}
		}
	}

	Workload m_work;
	Fleet m_fleet;
	std::mt19937 m_random;
	std::vector<Server> m_servers;
	std::vector<ServerSpeeds> m_speeds; ///< Of each gateway.
	std::vector<Balancer> m_balancers;
	std::vector<KnownBackend> m_known;
	std::vector<const KnownBackend*> m_candidates;
	std::unordered_map<BackendKey, unsigned, BackendKeyHash> m_numbers;
	std::priority_queue<End> m_ends;
	double m_betweenArrivals = 0.0; ///< Mean time between two requests.
	double m_due = 0.0;             ///< Disturbances that are due.
	std::size_t m_reporting = 0;
	Micros m_now = 0;
	bool m_counted = false;
	Result m_result;
};

/// @returns the sum of several runs.
inline Result runOf(const Workload& _work, Fleet _fleet, double _load)
{
	Result sum;
	for (unsigned seed = 1; seed <= (_work.prompts ? 3U : 1U); ++seed)
	{
		const Result result = UnevenSimulation(_work, _fleet, _load, seed).run();
		sum.late += result.late;
		sum.requests += result.requests;
	}
	return sum;
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_UNEVENFLEET_H
