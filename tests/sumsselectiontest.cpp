// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The sums that collectors of large data centres send: their size, and what a gateway learns from them.

#include "coordination/sumsselection.h"
#include "beacongate/limits.h"
#include "protocol/gossipcodec.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr const char* kHost = "10.0.0.7";

std::vector<QuotaReport> countersOf(std::size_t _teams, double _taken)
{
	std::vector<QuotaReport> counters;
	for (std::size_t team = 0; team < _teams; ++team)
	{
		counters.push_back({"team" + std::to_string(1000 + team), _taken});
	}
	return counters;
}

std::vector<BackendLoad> loadsOf(std::size_t _servers)
{
	std::vector<BackendLoad> loads;
	for (std::size_t server = 0; server < _servers; ++server)
	{
		loads.push_back({BackendKey("i-" + std::to_string(server)), static_cast<unsigned>(server % 13), server});
	}
	return loads;
}

GossipMessage reportOf(Micros _echo, const std::vector<QuotaReport>& _quotas = {})
{
	GossipMessage report;
	report.host = kHost;
	report.run = {"g7", 1};
	report.echo = _echo;
	report.quotas = _quotas;
	return report;
}

/// @returns a selection that has told the gateway all teams, and knows that it did.
TeamSelection confirmedSelection(const std::vector<QuotaReport>& _all)
{
	TeamSelection selection;
	selection.onReport(reportOf(0), 1);
	for (Micros sent = 1; sent <= 4; ++sent)
	{
		EXPECT_EQ(selection.select(kHost, _all, 30, sent).size(), _all.size());
	}
	selection.onReport(reportOf(4), 5);
	return selection;
}
} // namespace

/// With all teams and up to 512 loads in each answer, the collector of 174 gateways sent 7 MB/s, and its link of 20
/// Mbit/s carries 2.5 MB/s.
TEST(SumsSelection, answersOfACollectorFitHalfOfASmallLink)
{
	constexpr double kLink = 2.5e6;
	constexpr double kNetworkHeader = 46.0;
	for (const std::size_t factor : {1U, 2U})
	{
		const std::size_t gateways = 174 * factor;
		const std::vector<QuotaReport> all = countersOf(333 * factor, 123'456.5);
		const SumsBudget budget = SumsBudget::of(gateways);
		TeamSelection selection = confirmedSelection(all);
		GossipMessage sums;
		sums.kind = GossipKind::FleetSums;
		sums.run = {"frontend-iasi-hala-10", 1'796'000'000'000'000};
		sums.host = "10.100.100.100";
		sums.dataCentre = "iasi-hala";
		sums.demand = {{"model", 123.25, 17.5}, {"application", 3.25, 1.5}};
		sums.loads = loadsOf(3'000 * factor);
		keepBusiest(sums.loads, budget.loads);
		sums.quotas = selection.select(kHost, all, budget.teams, 6);
		const double bytes = static_cast<double>(encodeGossip(sums).size()) + kNetworkHeader;
		const double perSecond = bytes * static_cast<double>(gateways) * kSecond / limits::kCollectorRound;
		std::printf("%zu gateways: %.0f bytes an answer, %.2f MB/s\n", gateways, bytes, perSecond / 1e6);
		// At twice the size the answers are as small as they get.
		EXPECT_LE(perSecond, (factor == 1 ? 0.5 : 0.75) * kLink);
	}
}

TEST(SumsSelection, theLoadsOfTheBusiestServersAreKept)
{
	std::vector<BackendLoad> loads = loadsOf(1'300);
	keepBusiest(loads, 100);
	ASSERT_EQ(loads.size(), 100u);
	for (const BackendLoad& load : loads)
	{
		EXPECT_EQ(load.inFlight, 12u);
	}
	std::vector<BackendLoad> few = loadsOf(50);
	keepBusiest(few, 100);
	EXPECT_EQ(few.size(), 50u);
}

TEST(SumsSelection, smallDataCentresAreToldAll)
{
	const SumsBudget budget = SumsBudget::of(50);
	EXPECT_GE(budget.teams, 100u);
	EXPECT_GE(budget.loads, 300u);
}

TEST(SumsSelection, aGatewayIsToldAllTeamsUntilItConfirmsThem)
{
	const std::vector<QuotaReport> all = countersOf(333, 10.0);
	TeamSelection selection;
	selection.onReport(reportOf(0), 1);
	for (Micros sent = 10; sent < 20; ++sent)
	{
		EXPECT_EQ(selection.select(kHost, all, 30, sent).size(), all.size());
		selection.onReport(reportOf(9), sent); // No answer with all teams has arrived.
	}
	selection.onReport(reportOf(11), 20);
	EXPECT_EQ(selection.select(kHost, all, 30, 21).size(), 30u);
	GossipMessage restarted = reportOf(0);
	restarted.run.incarnation = 2;
	selection.onReport(restarted, 22);
	EXPECT_EQ(selection.select(kHost, all, 30, 23).size(), all.size());
}

TEST(SumsSelection, teamsThatAGatewayServesAreInEachAnswerAndTheOthersInTurn)
{
	const std::vector<QuotaReport> all = countersOf(333, 10.0);
	TeamSelection selection = confirmedSelection(all);
	selection.onReport(reportOf(5, {{"team1100", 3.0}, {"team1200", 1.0}}), 6);
	std::set<std::string> told;
	for (Micros round = 0; round < 14; ++round)
	{
		std::set<std::string> teams;
		for (const QuotaReport& quota : selection.select(kHost, all, 30, 7 + round))
		{
			teams.insert(quota.team);
		}
		EXPECT_LE(teams.size(), 30u);
		EXPECT_TRUE(teams.count("team1100") && teams.count("team1200"));
		told.insert(teams.begin(), teams.end());
	}
	EXPECT_EQ(told.size(), all.size()) << "331 teams, 28 in each answer";
	selection.onReport(reportOf(5), 7 + TeamSelection::kServedSpan);
	EXPECT_LE(selection.select(kHost, all, 30, 100).size(), 30u);
}

TEST(SumsSelection, aGatewayThatServesManyTeamsIsStillToldTheOthers)
{
	const std::vector<QuotaReport> all = countersOf(333, 10.0);
	TeamSelection selection = confirmedSelection(all);
	selection.onReport(reportOf(5, countersOf(200, 1.0)), 6);
	std::set<std::string> told;
	for (Micros round = 0; round < 60; ++round)
	{
		for (const QuotaReport& quota : selection.select(kHost, all, 30, 7 + round))
		{
			told.insert(quota.team);
		}
	}
	EXPECT_EQ(told.size(), all.size());
}

} // namespace beacongate::test
