// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of quota ledgers, for tests of what all gateways take together.

#ifndef BEACONGATE_TESTS_QUOTAFLEET_H
#define BEACONGATE_TESTS_QUOTAFLEET_H

#include "coordination/quotaledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
/// @returns a configuration with one team, "team", that has this quota.
inline RoutingConfigPtr limitedConfig(double _rate, double _burst)
{
	auto config = std::make_shared<RoutingConfig>();
	TeamAccess team;
	team.name = "team";
	team.keys = {"key"};
	team.ratePerSecond = _rate;
	team.burst = _burst;
	config->teams = {team};
	config->buildIndex();
	return config;
}

/// Gateways that hear each other by chance, before one team.
class QuotaFleet
{
public:
	static constexpr Micros kRound = 150 * kMillisecond;

	/// What is limited, and what the team asks for.
	struct Load
	{
		std::size_t gateways = 87;
		double rate = 1'100'000.0;
		double burst = 1'100'000.0;
		double amount = 4'700.0; ///< Of a request.
	};

	explicit QuotaFleet(const Load& _load) : m_load(_load), m_config(limitedConfig(_load.rate, _load.burst))
	{
		start(false);
	}

	/// Starts all gateways anew.
	/// @param[in] _keepsLevels Whether the levels of buckets are kept over it.
	void start(bool _keepsLevels)
	{
		++m_incarnation;
		m_started = m_now;
		const auto kept = _keepsLevels ? m_ledgers.at(0).levels(m_now) : std::map<std::string, std::uint64_t>();
		m_ledgers.assign(m_load.gateways, QuotaLedger());
		for (QuotaLedger& ledger : m_ledgers)
		{
			ledger.setFirstStart(m_incarnation == 1);
			ledger.setStoredLevels(kept);
			ledger.setMembers(m_load.gateways);
			ledger.configure(*m_config, m_now);
		}
	}

	/// Plays some rounds.
	/// @param[in] _demand Of the limit, that the team asks for.
	/// @param[in] _cut Gateways that are cut off from all others.
	void play(std::size_t _rounds, double _demand, std::size_t _cut = 0)
	{
		for (std::size_t round = 0; round < _rounds; ++round)
		{
			m_now += kRound;
			tell(_cut);
			ask(_demand);
		}
	}

	/// @returns the most that was taken in a window of 8 s.
	double mostInWindow() const
	{
		constexpr std::size_t kWindow = 8 * kSecond / kRound;
		double window = 0.0;
		double most = 0.0;
		for (std::size_t round = 0; round < m_taken.size(); ++round)
		{
			window += m_taken[round] - (round >= kWindow ? m_taken[round - kWindow] : 0.0);
			most = std::max(most, window);
		}
		return most;
	}

	/// @returns the most that may be taken in a window.
	double tolerated() const
	{
		return (m_load.rate * 8.0 + m_load.burst) * 1.1 + 140'000.0;
	}

	/// @returns what was taken, as a part of what the rate alone allows.
	double used() const
	{
		const double seconds = secondsOf(kRound) * static_cast<double>(m_taken.size());
		return std::accumulate(m_taken.begin(), m_taken.end(), 0.0) / (m_load.rate * seconds);
	}

private:
	void tell(std::size_t _cut)
	{
		constexpr std::size_t kReceivers = 16;
		for (std::size_t sender = 0; sender < m_load.gateways; ++sender)
		{
			for (std::size_t sent = 0; sent < kReceivers; ++sent)
			{
				const std::size_t receiver = m_random() % m_load.gateways;
				if (receiver == sender || receiver < _cut || sender < _cut)
				{
					continue;
				}
				const std::string name = std::to_string(sender);
				const QuotaReport report{"team", m_ledgers[sender].takenHere("team")};
				m_ledgers[receiver].onReport(name, m_incarnation, report, m_now, m_now - m_started);
				m_ledgers[receiver].onHeard(name, m_now, m_now);
			}
		}
	}

	void ask(double _demand)
	{
		const double requests = _demand * m_load.rate * secondsOf(kRound) / m_load.amount;
		std::poisson_distribution<int> arrivals(requests / static_cast<double>(m_load.gateways));
		double sum = 0.0;
		for (QuotaLedger& ledger : m_ledgers)
		{
			for (int request = arrivals(m_random); request > 0; --request)
			{
				sum += ledger.take("team", m_load.amount, m_now).passes() ? m_load.amount : 0.0;
			}
		}
		m_taken.push_back(sum);
	}

	Load m_load;
	RoutingConfigPtr m_config;
	std::vector<QuotaLedger> m_ledgers;
	std::minstd_rand m_random{7};
	Micros m_now = kSecond;
	Micros m_started = 0;
	std::uint64_t m_incarnation = 0;
	std::vector<double> m_taken;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_QUOTAFLEET_H
