// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How an ordinary gateway finds out what all others did, from a collector's sums over the whole fleet.

#ifndef BEACONGATE_COORDINATION_FLEETFOLLOWER_H
#define BEACONGATE_COORDINATION_FLEETFOLLOWER_H

#include "coordination/fleettable.h"

#include <deque>
#include <optional>

namespace beacongate
{
/// Takes this gateway's own part out of the sums: the part that it had reported when they were made.
class FleetFollower
{
public:
	/// Reports that are remembered: four seconds of them. Sums that answer an older one are of no use.
	static constexpr std::size_t kReports = 16;

	/// A report was sent.
	/// @param[in] _sent The stamp that the collector echoes.
	/// @param[in] _own All counters and loads at that moment, also those that the report left out.
	void onReportSent(Micros _sent, FleetSums _own);

	/// @returns what the other gateways did; nothing where the sums answer no report that is remembered.
	/// @remarks Counters begin anywhere and then grow with what the others do for as long as the collector runs.
	std::optional<FleetSums> sumsOfOthers(const GossipMessage& _sums);

private:
	struct Reported
	{
		Micros sent = 0;
		FleetSums own;
	};

	std::deque<Reported> m_reported;
	std::string m_collector; ///< Host and run that is followed.
	FleetSums m_atFirst;     ///< This gateway's own counters when that collector was first heard.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FLEETFOLLOWER_H
