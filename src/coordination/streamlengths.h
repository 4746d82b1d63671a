// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Estimates for how long a new stream will hold its slot at an engine.

#ifndef BEACONGATE_COORDINATION_STREAMLENGTHS_H
#define BEACONGATE_COORDINATION_STREAMLENGTHS_H

#include "beacongate/types.h"

#include <cstddef>
#include <map>
#include <string>

namespace beacongate
{
/// Estimates the mean number of events of a route's streams, and the time between two events of a service's
/// engines that are not overloaded.
/// @remarks The time between events is a low quantile. Where too few engines run, events come slowly for that
/// reason, and a load derived from the held slots would then grow with each missing engine. The low quantile
/// hardly changes in a shortage: it rises by a quarter within 14 s of traffic whose every event is late.
class StreamLengths
{
public:
	/// Number of routes that are remembered; streams of other routes count as unknown.
	static constexpr std::size_t kMaxRoutes = 512;
	/// Least number of events of a stream that gives a sample of the time between events.
	static constexpr unsigned kMinEvents = 3;

	/// Notes that a whole stream came from one engine.
	/// @param[in] _events Number of its events.
	/// @param[in] _span Time from its first event to its last.
	void onStream(const std::string& _service, const std::string& _route, unsigned _events, Micros _span);

	/// @returns the seconds for which a stream of the route holds its slot after the prefill, at an engine that
	/// is not overloaded; 0 if unknown.
	double holdSeconds(const std::string& _service, const std::string& _route) const;

private:
	std::map<std::string, double> m_eventIntervals; ///< Seconds between two events, by service.
	std::map<std::string, double> m_events;         ///< Mean number of events, by route.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STREAMLENGTHS_H
