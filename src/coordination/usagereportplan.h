// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses which usage counts of a data centre are sent in a round, and divides them into messages.

#ifndef BEACONGATE_COORDINATION_USAGEREPORTPLAN_H
#define BEACONGATE_COORDINATION_USAGEREPORTPLAN_H

#include "coordination/usageledger.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace beacongate
{
/// Sends each change of a count several times, since datagrams may be lost, and all counts in turn.
/// @remarks The counts of a data centre are one row for each team, window and second in which gateways started. In
/// one message they grow with the teams: 333 teams and three windows have 35 kB, and a restart in waves makes them
/// larger than a datagram can be.
class UsageReportPlan
{
public:
	/// Rows in one message; they take about 5 kB.
	static constexpr std::size_t kMaxRows = 128;
	/// Rounds in which a change is sent, and in which all rows are sent to a new receiver.
	static constexpr std::size_t kRepeatRounds = 4;
	/// Rounds in which all rows are sent in turn, whether or not they changed.
	static constexpr std::size_t kRoundsPerCycle = 16;

	/// Chooses the rows of the next round.
	/// @param[in] _rows All rows of the data centre.
	/// @param[in] _receivers Hosts that the rows are sent to.
	/// @returns the rows to send, at most kMaxRows in each part.
	std::vector<RunCounts> select(const RunCounts& _rows, const std::set<std::string>& _receivers);

private:
	using Key = std::tuple<std::uint64_t, GatewayRun, std::string>;

	struct Row
	{
		std::uint64_t count = 0;
		std::size_t changedIn = 0; ///< Round of the last change.
	};

	/// Records a row.
	/// @returns the round in which it last changed.
	std::size_t update(const GatewayRun& _run, const UsageCount& _count, std::map<Key, Row>& _updated) const;

	std::map<Key, Row> m_rows;
	std::set<std::string> m_receivers;
	std::size_t m_round = 0;
	std::size_t m_allUntil = 0; ///< All rows are sent before this round.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGEREPORTPLAN_H
