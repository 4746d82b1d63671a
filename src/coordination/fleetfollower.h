// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Derives the totals of all other gateways from the sums over the whole fleet that a collector sends.

#ifndef BEACONGATE_COORDINATION_FLEETFOLLOWER_H
#define BEACONGATE_COORDINATION_FLEETFOLLOWER_H

#include "coordination/fleettable.h"

#include <deque>
#include <optional>

namespace beacongate
{
/// Subtracts this gateway's own part from the fleet's sums, as it was in the report that the sums answer.
class FleetFollower
{
public:
	/// Number of own reports that are kept: four seconds' worth. Sums that answer an older report are discarded.
	static constexpr std::size_t kMaxReports = 16;

	/// Records a report that was sent.
	/// @param[in] _sent Timestamp of the report, which the collector echoes.
	/// @param[in] _own All of this gateway's counters and loads at that time, including those that the report
	/// omitted.
	void onReportSent(Micros _sent, FleetSums _own);

	/// @returns the sums without this gateway's part; nothing if they answer no report that is kept.
	/// @remarks The counters start at an arbitrary value. From there they grow with the counters of the other
	/// gateways for as long as the collector's run lasts.
	std::optional<FleetSums> sumsOfOthers(const GossipMessage& _sums);

private:
	struct SentReport
	{
		Micros sent = 0;
		FleetSums own;
	};

	std::deque<SentReport> m_sentReports;
	std::string m_collector; ///< Host and incarnation of the collector that the last sums came from.
	FleetSums m_ownAtFirst;  ///< Own counters when the first sums of that collector arrived.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FLEETFOLLOWER_H
