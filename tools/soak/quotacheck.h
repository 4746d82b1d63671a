// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What teams with limits had run and were refused in a soak. Pure.

#ifndef BEACONGATE_TOOLS_SOAK_QUOTACHECK_H
#define BEACONGATE_TOOLS_SOAK_QUOTACHECK_H

#include "soak/observations.h"

#include <cstddef>
#include <string>
#include <vector>

namespace beacongate::soak
{
/// What became of one team. Amounts are requests or tokens, as its limit counts.
struct TeamUse
{
	std::string team;
	double most = 0.0;      ///< That ran in the window in which most of what is tolerated there ran.
	double tolerated = 0.0; ///< In that window.
	Micros mostUntil = 0;   ///< End of that window, after the first run of all.
	std::size_t asked = 0;
	std::size_t refused = 0;
	std::size_t askedBelow = 0;   ///< While the team was below its limit.
	std::size_t refusedBelow = 0; ///< Of these, told that the team is over its limit.
	/// Of these, the requests that came while no gateway was disturbed, nor had been for the span of contact.
	std::vector<std::string> refusedInCalm;
};

/// @returns the use of each team that has a limit.
/// @remarks A team is below its limit at a request if all that it asked for in any span of up to 10 s until the
/// request was decided on fits into 0.8 of what the smallest limit in that span gives. A lower limit counts for
/// windows that begin once each gateway has been sound, at some time since the change, for as long as a
/// configuration may take.
std::vector<TeamUse> useOf(const Observations& _seen);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_QUOTACHECK_H
