// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Computes what teams with limits ran and were refused in a soak, without side effects.

#ifndef BEACONGATE_TOOLS_SOAK_QUOTACHECK_H
#define BEACONGATE_TOOLS_SOAK_QUOTACHECK_H

#include "soak/observations.h"

#include <cstddef>
#include <string>
#include <vector>

namespace beacongate::soak
{
/// Usage and refusals of one team. Amounts are requests or tokens, whichever its limit counts.
struct TeamUsage
{
	std::string team;
	double peak = 0.0;      ///< Amount run in the window with the largest ratio of run to tolerated amount.
	double tolerated = 0.0; ///< Amount tolerated in that window.
	Micros peakUntil = 0;   ///< End of that window, relative to the first run of the soak.
	std::size_t asked = 0;
	std::size_t refused = 0;
	std::size_t askedBelow = 0;   ///< Requests sent while the team was below its limit.
	std::size_t refusedBelow = 0; ///< Number of these that were refused as over the limit.
	/// Refused requests of these that came while no gateway had been disturbed for at least Bounds::contact.
	std::vector<std::string> refusedUndisturbed;
};

/// @returns the usage of each team that has a limit.
/// @remarks A team is below its limit at a request if the amount that it asked for in every span of up to 10 s that
/// ends with the decision is at most 0.8 of what the smallest limit in that span allows. A lowered limit applies to
/// windows that begin after each gateway has, since the change, been undisturbed for as long as applying a
/// configuration may take.
std::vector<TeamUsage> usageOf(const Observations& _seen);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_QUOTACHECK_H
