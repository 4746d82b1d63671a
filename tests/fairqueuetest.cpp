// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fairqueue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace beacongate
{
namespace
{
/// @returns the items with their teams in the order in which the queue serves them until it is empty.
std::vector<std::pair<std::uint32_t, QueueItem>> drain(FairQueue& _queue,
													   const std::map<RequestId, std::uint32_t>& _teams)
{
	std::vector<std::pair<std::uint32_t, QueueItem>> served;
	QueueItem item;
	while (_queue.pop(item))
	{
		served.emplace_back(_teams.at(item.request), item);
	}
	return served;
}
} // namespace

RC_GTEST_PROP(FairQueue, servesEveryRequestOnce, (const std::vector<std::pair<std::uint8_t, std::uint8_t>>& _items))
{
	FairQueue queue;
	std::map<RequestId, std::uint32_t> teams;
	RequestId next = 1;
	for (const auto& [team, cost] : _items)
	{
		teams[next] = team % 5;
		queue.push(TeamHandle{teams[next]}, 1.0 + team % 5, QueueItem{next, 1.0 + cost, cost % 3});
		++next;
	}
	RC_ASSERT(queue.size() == _items.size());
	std::map<RequestId, int> seen;
	for (const auto& [team, item] : drain(queue, teams))
	{
		RC_ASSERT(1 == ++seen[item.request]);
	}
	RC_ASSERT(seen.size() == _items.size());
	RC_ASSERT(0u == queue.size());
}

RC_GTEST_PROP(FairQueue, priorityGoesFirstWithinATeam, (const std::vector<std::uint8_t>& _priorities))
{
	FairQueue queue;
	std::map<RequestId, std::uint32_t> teams;
	for (std::size_t ii = 0; ii < _priorities.size(); ++ii)
	{
		teams[ii + 1] = 0;
		queue.push(TeamHandle{0}, 1.0, QueueItem{ii + 1, 1.0, _priorities[ii] % 4});
	}
	int last = 4;
	for (const auto& [team, item] : drain(queue, teams))
	{
		RC_ASSERT(item.priority <= last);
		last = item.priority;
	}
}

RC_GTEST_PROP(FairQueue, backloggedTeamsShareByWeight, ())
{
	const double weightA = *rc::gen::inRange(1, 8);
	const double weightB = *rc::gen::inRange(1, 8);
	FairQueue queue;
	std::map<RequestId, std::uint32_t> teams;
	constexpr int kRequestsPerTeam = 2000;
	for (int ii = 0; ii < kRequestsPerTeam; ++ii)
	{
		const RequestId a = 2 * static_cast<RequestId>(ii) + 1;
		teams[a] = 0;
		teams[a + 1] = 1;
		queue.push(TeamHandle{0}, weightA, QueueItem{a, static_cast<double>(*rc::gen::inRange(1, 9)), 0});
		queue.push(TeamHandle{1}, weightB, QueueItem{a + 1, static_cast<double>(*rc::gen::inRange(1, 9)), 0});
	}
	std::map<std::uint32_t, double> cost;
	QueueItem item;
	for (int ii = 0; ii < kRequestsPerTeam / 2; ++ii)
	{
		queue.pop(item);
		cost[teams[item.request]] += item.cost;
	}
	// The difference of served cost over weight is at most one largest request of each team.
	const double gap = std::abs(cost[0] / weightA - cost[1] / weightB);
	RC_ASSERT(gap <= 8.0 / weightA + 8.0 / weightB + 1e-6);
}

RC_GTEST_PROP(FairQueue, anIdleTeamGainsNoCreditAndNoDebt, ())
{
	FairQueue queue;
	std::map<RequestId, std::uint32_t> teams;
	RequestId next = 1;
	const int burst = *rc::gen::inRange(1, 300);
	for (int ii = 0; ii < burst; ++ii)
	{
		teams[next] = 0;
		queue.push(TeamHandle{0}, 1.0, QueueItem{next++, 10.0, 0});
	}
	QueueItem item;
	const int before = *rc::gen::inRange(0, burst);
	for (int ii = 0; ii < before; ++ii)
	{
		queue.pop(item);
	}
	teams[next] = 1;
	queue.push(TeamHandle{1}, 1.0, QueueItem{next, 10.0, 0});
	// The new team waits for at most two requests of the backlogged team.
	int waited = 0;
	while (queue.pop(item) && 1 != teams[item.request])
	{
		++waited;
	}
	RC_ASSERT(waited <= 2);
}

} // namespace beacongate
