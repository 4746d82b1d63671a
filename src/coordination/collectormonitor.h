// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Detects collectors that do not answer.

#ifndef BEACONGATE_COORDINATION_COLLECTORMONITOR_H
#define BEACONGATE_COORDINATION_COLLECTORMONITOR_H

#include "beacongate/limits.h"
#include "coordination/stalldetector.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Tracks since when each contacted collector has not answered.
class CollectorMonitor
{
public:
	/// A collector counts as silent after this long without an answer: three rounds and 50 ms.
	static constexpr Micros kSilenceTimeout = 3 * limits::kCollectorRound + 50 * kMillisecond;

	/// Records that a report was sent to a collector, which answers it.
	void onContacted(const std::string& _host, Micros _now)
	{
		m_contactedAt.try_emplace(_host, _now);
	}

	/// Finds silent collectors. Must be called in each round before reports are sent.
	/// @param[in] _heard Returns when a host was last heard.
	/// @param[in] _contacted Collectors that were contacted in the previous round; all others are forgotten.
	/// @returns the collectors that have not answered within kSilenceTimeout.
	/// @remarks A process receives nothing during its own stall, so the timeouts start again when it resumes.
	/// Without this, 23 of 77 gateways that stalled for 2.5 s dropped healthy collectors as they resumed. They then
	/// exchanged no reports for seconds while they continued to admit requests.
	std::vector<std::string> takeSilent(Micros _now, const std::function<Micros(const std::string&)>& _heard,
										const std::vector<std::string>& _contacted);

private:
	StallDetector m_stall;
	std::map<std::string, Micros> m_contactedAt;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_COLLECTORMONITOR_H
