// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Weighted fair queue across teams, with priorities inside a team.
///
/// Start-time fair queueing: every team has a start tag; the team with the smallest tag is served next,
/// and its tag then increases by cost / weight. An idle team resumes at the queue's virtual time or later,
/// so it gains no credit while it is idle.

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
	int priority = 0;  ///< Larger values are served first within the team.
};

/// Weighted fair queue of one service.
class FairQueue
{
public:
	/// Adds a request at the tail of its team's queue for its priority.
	void push(TeamHandle _team, double _weight, const QueueItem& _item);

	/// Returns a request to the head of its team's queue for its priority, at cost 0, since it was charged before.
	void pushFront(TeamHandle _team, double _weight, const QueueItem& _item);

	/// Removes the next request.
	/// @param[out] _item The request; unchanged if the queue is empty.
	/// @returns true if there was one.
	bool pop(QueueItem& _item);

	/// Removes one request at any position.
	/// @returns true if it was queued.
	bool remove(TeamHandle _team, const QueueItem& _item);

	/// @returns the number of queued requests, of all teams or of one.
	std::size_t size() const;
	std::size_t size(TeamHandle _team) const;

	/// @returns the estimated cost of all queued requests, in tokens.
	double queuedCost() const;

	/// Estimates the cost that is served before a new request of a team.
	/// @param[in] _weight The team's weight.
	/// @remarks Divides the cost of the team's own queue by the team's share of the active weights.
	double costAhead(TeamHandle _team, double _weight) const;

private:
	struct TeamQueue
	{
		std::map<int, std::deque<QueueItem>, std::greater<>> byPriority;
		std::size_t count = 0;
		double cost = 0.0;
		double startTag = 0.0;
		double weight = 1.0;
	};
	using StartOrder = std::set<std::pair<double, std::uint32_t>>;

	TeamQueue& activate(TeamHandle _team, double _weight);
	void recordAdded(TeamQueue& _queue, const QueueItem& _item);
	void recordRemoved(TeamHandle _team, TeamQueue& _queue, const QueueItem& _item);

	std::vector<TeamQueue> m_teamQueues; ///< By team index.
	StartOrder m_order;                  ///< Start tags of the teams that have requests.
	double m_virtualTime = 0.0;
	double m_activeWeight = 0.0;
	double m_cost = 0.0;
	std::size_t m_count = 0;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FAIRQUEUE_H
