// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Usage counts of a large fleet: the size of their messages, and that each count reaches the duty holder.

#include "coordination/usagereportplan.h"
#include "beacongate/limits.h"
#include "coordination/gossip.h"
#include "protocol/gossipcodec.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr std::uint64_t kWindow = 359'200'000;
constexpr Micros kWindowSpan = 5 * kSecond;
const std::set<std::string> kHolder{"10.0.0.1"};

/// @returns the counts of a data centre in three windows.
/// @param[in] _starts Seconds of each window in which some of its gateways started.
RunCounts countsOf(unsigned _teams, unsigned _starts)
{
	UsageLedger ledger({"collector", 1});
	for (std::uint64_t window = kWindow - 2; window <= kWindow; ++window)
	{
		for (unsigned start = 0; start < _starts; ++start)
		{
			const auto began = window * static_cast<std::uint64_t>(kWindowSpan) + start * kSecond;
			const GatewayRun run{"frontend-iasi-hala-" + std::to_string(start), start == 0 ? 1 : began};
			for (unsigned team = 0; team < _teams; ++team)
			{
				ledger.onReport(run, {window, "team" + std::to_string(team), 5});
			}
		}
	}
	return ledger.dataCentreCounts("iasi-hala", kWindow - 2, kWindowSpan);
}

std::size_t encodedSize(const RunCounts& _rows)
{
	GossipMessage message;
	message.kind = GossipKind::Echo;
	message.dataCentreUsage = _rows;
	return encodeGossip(message).size();
}
} // namespace

/// All counts in one message exceed the largest datagram, so that a data centre's sums are lost.
TEST(UsageReportPlan, aMessageStaysSmallHoweverManyTeamsAndRestartsThereAre)
{
	constexpr std::size_t kBound = 8'000;
	for (const unsigned teams : {333U, 666U})
	{
		const RunCounts rows = countsOf(teams, 3);
		std::printf("%u teams: %zu rows, %zu bytes in one message\n", teams, rows.size(), encodedSize(rows));
		EXPECT_GT(encodedSize(rows), limits::kGossipBytes);
		UsageReportPlan plan;
		std::size_t sent = 0;
		for (const RunCounts& part : plan.select(rows, kHolder))
		{
			EXPECT_LE(encodedSize(part), kBound);
			sent += part.size();
		}
		EXPECT_EQ(sent, rows.size()) << "a new receiver gets all";
	}
}

TEST(UsageReportPlan, onlyChangesAndATurnOfTheOthersAreSent)
{
	RunCounts rows = countsOf(333, 1);
	UsageReportPlan plan;
	for (std::size_t round = 0; round < UsageReportPlan::kRepeatRounds; ++round)
	{
		plan.select(rows, kHolder);
	}
	rows.front().second.count = 6;
	for (std::size_t round = 0; round < UsageReportPlan::kRepeatRounds; ++round)
	{
		std::size_t sent = 0;
		bool namesChange = false;
		for (const RunCounts& part : plan.select(rows, kHolder))
		{
			sent += part.size();
			namesChange = namesChange || part.front().second.count == 6;
		}
		EXPECT_TRUE(namesChange);
		EXPECT_LE(sent, rows.size() / UsageReportPlan::kRoundsPerCycle + 2);
	}
}

/// The duty holder gets each count although one message in ten is lost, also if it has just taken the duties.
TEST(UsageReportPlan, allCountsReachTheHolderThoughMessagesAreLost)
{
	for (std::uint32_t seed = 1; seed <= 20; ++seed)
	{
		std::minstd_rand random(seed);
		UsageReportPlan plan;
		UsageLedger holder({"holder", 1});
		RunCounts rows = countsOf(333, 1);
		for (std::size_t round = 0; round < 2 * UsageReportPlan::kRoundsPerCycle; ++round)
		{
			for (unsigned change = 0; change < 30 && round < UsageReportPlan::kRoundsPerCycle; ++change)
			{
				++rows[random() % rows.size()].second.count;
			}
			for (const RunCounts& part : plan.select(rows, kHolder))
			{
				const bool lost = random() % 10 == 0;
				for (const auto& [run, count] : lost ? RunCounts() : part)
				{
					holder.onReport(run, count);
				}
			}
		}
		std::uint64_t expected = 0;
		for (const auto& [run, count] : rows)
		{
			expected += count.window == kWindow ? count.count : 0;
		}
		std::uint64_t known = 0;
		for (const auto& [team, count] : holder.totals(kWindow, true))
		{
			known += count;
		}
		EXPECT_EQ(known, expected) << "seed " << seed;
	}
}

} // namespace beacongate::test
