// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// For how long a stream will hold its slot at an engine, told as it arrives.

#ifndef BEACONGATE_COORDINATION_STREAMLENGTHS_H
#define BEACONGATE_COORDINATION_STREAMLENGTHS_H

#include "beacongate/types.h"

#include <cstddef>
#include <map>
#include <string>

namespace beacongate
{
/// Learns the mean number of events of a route's streams, and the pace at which the engines of a service make
/// events while they are not crowded.
/// @remarks The pace is a low quantile: where too few engines stand, events come slowly because of that, and a load
/// that is read off the slots that are held then grows with each engine that is missing. Learnt by quantile, the
/// estimate hardly moves in a shortage: it rises by a quarter within 14 s of traffic whose every event is late.
class StreamLengths
{
public:
	/// Routes that are remembered; streams of others count as unknown.
	static constexpr std::size_t kMaxRoutes = 512;
	/// Events from which on a stream tells a pace.
	static constexpr unsigned kMinEvents = 3;

	/// A whole stream came from one engine.
	/// @param[in] _events That it had.
	/// @param[in] _span From the first event to the last.
	void onStream(const std::string& _service, const std::string& _route, unsigned _events, Micros _span);

	/// @returns seconds for which a stream of the route holds its slot after its prompt was read, at an engine that
	/// is not crowded; 0 while that is not known.
	double holdSeconds(const std::string& _service, const std::string& _route) const;

private:
	std::map<std::string, double> m_paces;  ///< Seconds an event, by service.
	std::map<std::string, double> m_events; ///< Mean number, by route.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STREAMLENGTHS_H
