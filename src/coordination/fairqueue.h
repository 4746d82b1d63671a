// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Weighted fair queue across teams, with priorities inside a team.
///
/// Start-time fair queueing: every team has a virtual start time; the team with the
/// smallest one is served next and its start moves on by cost / weight. A team that was
/// idle starts at the queue's virtual time, so it neither owes nor has saved anything.

#ifndef BEACONGATE_COORDINATION_FAIRQUEUE_H
#define BEACONGATE_COORDINATION_FAIRQUEUE_H

#include "beacongate/types.h"

#include <deque>
#include <map>
#include <set>
#include <vector>

namespace beacongate
{
/// One queued request.
struct QueueItem
{
	RequestId request = 0;
	double cost = 1.0; ///< Estimated tokens.
	int priority = 0;  ///< Larger goes first within the team.
};

/// Queue of one service.
class FairQueue
{
public:
	/// Adds a request at the end of its team's and priority's line.
	void push(TeamHandle _team, double _weight, const QueueItem& _item);

	/// Puts a request back at the head of its line; it has been paid for already.
	void pushFront(TeamHandle _team, double _weight, const QueueItem& _item);

	/// Takes the next request.
	/// @param[out] _item The request; unchanged where the queue is empty.
	/// @returns whether there was one.
	bool pop(QueueItem& _item);

	/// Takes out one request wherever it stands.
	/// @returns whether it was queued.
	bool remove(TeamHandle _team, const QueueItem& _item);

	/// @returns number of queued requests, of all teams or of one.
	std::size_t size() const;
	std::size_t size(TeamHandle _team) const;

	/// @returns estimated cost of everything queued, in tokens.
	double queuedCost() const;

	/// Estimates the cost that is served before a new request of a team.
	/// @param[in] _weight The team's weight.
	/// @remarks Counts the team's own queue at the share that its weight leaves it.
	double costAhead(TeamHandle _team, double _weight) const;

private:
	struct Line
	{
		std::map<int, std::deque<QueueItem>, std::greater<>> byPriority;
		std::size_t count = 0;
		double cost = 0.0;
		double start = 0.0;
		double weight = 1.0;
	};
	using StartOrder = std::set<std::pair<double, std::uint32_t>>;

	Line& activate(TeamHandle _team, double _weight);
	void account(Line& _line, const QueueItem& _item);
	void release(TeamHandle _team, Line& _line, const QueueItem& _item);

	std::vector<Line> m_lines; ///< By team index.
	StartOrder m_order;        ///< Lines that hold requests.
	double m_virtualTime = 0.0;
	double m_activeWeight = 0.0;
	double m_cost = 0.0;
	std::size_t m_count = 0;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FAIRQUEUE_H
