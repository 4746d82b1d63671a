// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A fleet of quota ledgers, for tests of the usage at all gateways together.

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
/// @returns a configuration with one team, "team", with this quota.
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

/// Gateways that report to random others and receive the requests of one team.
class QuotaFleet
{
public:
	static constexpr Micros kRound = 150 * kMillisecond;

	/// The size of the fleet, the team's limit and its requests.
	struct Scenario
	{
		std::size_t gateways = 87;
		double rate = 1'100'000.0;
		double burst = 1'100'000.0;
		double amount = 4'700.0; ///< Size of a request.
	};

	explicit QuotaFleet(const Scenario& _scenario)
		: m_scenario(_scenario), m_config(limitedConfig(_scenario.rate, _scenario.burst))
	{
		start(false);
	}

	/// Restarts all gateways.
	/// @param[in] _storesLevels True if the bucket levels are stored over the restart.
	void start(bool _storesLevels)
	{
		++m_incarnation;
		m_started = m_now;
		const auto storedLevels =
			_storesLevels ? m_ledgers.at(0).levels(m_now) : std::map<std::string, std::uint64_t>();
		m_ledgers.assign(m_scenario.gateways, QuotaLedger());
		for (QuotaLedger& ledger : m_ledgers)
		{
			ledger.setFirstStart(m_incarnation == 1);
			ledger.setStoredLevels(storedLevels);
			ledger.setMembers(m_scenario.gateways);
			ledger.configure(*m_config, m_now);
		}
	}

	/// Simulates some rounds.
	/// @param[in] _demand Demand of the team as a multiple of its limit.
	/// @param[in] _cutOff Number of gateways that are cut off from all others.
	void run(std::size_t _rounds, double _demand, std::size_t _cutOff = 0)
	{
		for (std::size_t round = 0; round < _rounds; ++round)
		{
			m_now += kRound;
			sendReports(_cutOff);
			sendRequests(_demand);
		}
	}

	/// @returns the largest usage in a window of 8 s.
	double peakInWindow() const
	{
		constexpr std::size_t kWindow = 8 * kSecond / kRound;
		double window = 0.0;
		double peak = 0.0;
		for (std::size_t round = 0; round < m_usage.size(); ++round)
		{
			window += m_usage[round] - (round >= kWindow ? m_usage[round - kWindow] : 0.0);
			peak = std::max(peak, window);
		}
		return peak;
	}

	/// @returns the largest usage that is tolerated in a window.
	double tolerated() const
	{
		return (m_scenario.rate * 8.0 + m_scenario.burst) * 1.1 + 140'000.0;
	}

	/// @returns the usage as a share of what the rate alone allows.
	double usedShare() const
	{
		const double seconds = secondsOf(kRound) * static_cast<double>(m_usage.size());
		return std::accumulate(m_usage.begin(), m_usage.end(), 0.0) / (m_scenario.rate * seconds);
	}

private:
	void sendReports(std::size_t _cutOff)
	{
		constexpr std::size_t kReceivers = 16;
		for (std::size_t sender = 0; sender < m_scenario.gateways; ++sender)
		{
			for (std::size_t sent = 0; sent < kReceivers; ++sent)
			{
				const std::size_t receiver = m_random() % m_scenario.gateways;
				if (receiver == sender || receiver < _cutOff || sender < _cutOff)
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

	void sendRequests(double _demand)
	{
		const double requests = _demand * m_scenario.rate * secondsOf(kRound) / m_scenario.amount;
		std::poisson_distribution<int> arrivals(requests / static_cast<double>(m_scenario.gateways));
		double sum = 0.0;
		for (QuotaLedger& ledger : m_ledgers)
		{
			for (int request = arrivals(m_random); request > 0; --request)
			{
				sum += ledger.take("team", m_scenario.amount, m_now).passes() ? m_scenario.amount : 0.0;
			}
		}
		m_usage.push_back(sum);
	}

	Scenario m_scenario;
	RoutingConfigPtr m_config;
	std::vector<QuotaLedger> m_ledgers;
	std::minstd_rand m_random{7};
	Micros m_now = kSecond;
	Micros m_started = 0;
	std::uint64_t m_incarnation = 0;
	std::vector<double> m_usage;
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_QUOTAFLEET_H
