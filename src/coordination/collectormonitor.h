// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Which collectors do not answer.

#ifndef BEACONGATE_COORDINATION_COLLECTORWATCH_H
#define BEACONGATE_COORDINATION_COLLECTORWATCH_H

#include "beacongate/limits.h"
#include "coordination/stalldetector.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Remembers which collectors were spoken to and should be heard since.
class CollectorMonitor
{
public:
	/// A collector that should have been heard for this long, three rounds, is silent.
	static constexpr Micros kSilenceTimeout = 3 * limits::kCollectorRound + 50 * kMillisecond;

	/// A collector was spoken to, and answers if it can.
	void onAsked(const std::string& _host, Micros _now)
	{
		m_askedSince.try_emplace(_host, _now);
	}

	/// Looks for silent collectors; to be called in each round, before they are spoken to.
	/// @param[in] _heard When a host was heard last.
	/// @param[in] _spokenTo In the round before; others are forgotten.
	/// @returns those that should have been heard and were not.
	/// @remarks While this process stood still it could hear nobody, so that the spans begin anew as it goes on. By
	/// the clock alone, 23 gateways of 77 that stood still for 2.5 s each passed over collectors that were sound,
	/// in the moment in which they woke, and neither heard nor were heard for seconds more, while they went on
	/// letting requests through (log of one day with a hot team).
	std::vector<std::string> takeSilent(Micros _now, const std::function<Micros(const std::string&)>& _heard,
										const std::vector<std::string>& _spokenTo);

private:
	StallDetector m_stall;
	std::map<std::string, Micros> m_askedSince;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_COLLECTORWATCH_H
