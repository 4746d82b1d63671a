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

/// Plays 87 gateways that hear each other by chance; all are killed at once, twice within one window, while a team
/// asks for some times its limit, and checks the quota.
/// @param[in] _demand Of the limit, that the team asks for.
/// @param[in] _keepsLevels Whether the levels of buckets are kept over a restart.
/// @param[in] _hotRounds Rounds of 150 ms for which it has done so at the first kill.
inline void playRestartsOfALargeFleet(double _demand, bool _keepsLevels, std::size_t _hotRounds = 8)
{
	constexpr std::size_t kGateways = 87;
	constexpr std::size_t kReceivers = 16;
	constexpr double kRate = 1'100'000.0;
	constexpr double kBurst = 1'100'000.0;
	constexpr double kAmount = 4'700.0;
	constexpr Micros kRound = 150 * kMillisecond;
	constexpr std::size_t kRounds = 160;
	constexpr std::size_t kCalm = 60; ///< Rounds in which the team asks for half of its limit.
	constexpr std::size_t kWindow = 8 * kSecond / kRound;
	const RoutingConfigPtr config = limitedConfig(kRate, kBurst);
	std::vector<QuotaLedger> ledgers;
	std::minstd_rand random(7);
	std::uint64_t incarnation = 0;
	Micros started = 0;
	const auto start = [&](Micros _now)
	{
		++incarnation;
		started = _now;
		const bool keeps = _keepsLevels && !ledgers.empty();
		const auto kept = keeps ? ledgers[0].levels(_now) : std::map<std::string, std::uint64_t>();
		ledgers.assign(kGateways, QuotaLedger());
		for (QuotaLedger& ledger : ledgers)
		{
			ledger.setFirstStart(incarnation == 1);
			ledger.setKeptLevels(kept);
			ledger.setMembers(kGateways);
			ledger.configure(*config, _now);
		}
	};
	Micros now = kSecond;
	start(now);
	std::vector<double> taken;
	for (std::size_t round = 0; round < kRounds; ++round)
	{
		now += kRound;
		if (round == kCalm + _hotRounds || round == kCalm + 36)
		{
			start(now);
		}
		for (std::size_t sender = 0; sender < kGateways; ++sender)
		{
			for (std::size_t sent = 0; sent < kReceivers; ++sent)
			{
				const std::size_t receiver = random() % kGateways;
				if (receiver != sender)
				{
					const std::string name = std::to_string(sender);
					const double count = ledgers[sender].takenHere("team");
					ledgers[receiver].onReport(name, incarnation, {"team", count}, now, now - started);
					ledgers[receiver].onHeard(name, now);
				}
			}
		}
		const double demand = round < kCalm ? 0.5 : _demand;
		std::poisson_distribution<int> arrivals(demand * kRate * 0.15 / kAmount / static_cast<double>(kGateways));
		double sum = 0.0;
		for (QuotaLedger& ledger : ledgers)
		{
			for (int request = arrivals(random); request > 0; --request)
			{
				sum += ledger.take("team", kAmount, now) == 0 ? kAmount : 0.0;
			}
		}
		taken.push_back(sum);
	}
	double most = 0.0;
	for (std::size_t end = kWindow; end <= taken.size(); ++end)
	{
		const auto last = taken.begin() + static_cast<std::ptrdiff_t>(end);
		most = std::max(most, std::accumulate(last - kWindow, last, 0.0));
	}
	EXPECT_LE(most, (kRate * 8.0 + kBurst) * 1.1 + 140'000.0);
	EXPECT_GE(std::accumulate(taken.begin(), taken.end(), 0.0), 0.5 * kRate * 0.15 * kRounds);
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_QUOTAFLEET_H
