// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Checks that gateways follow the requests in backend servers' answers, without side effects.

#ifndef BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H
#define BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H

#include "soak/checker.h"

namespace beacongate::soak
{
/// Adds a finding for each backoff in which too many requests of its gateway arrived, and for each request that
/// reached a backend server after an answer through the same process had announced its departure.
/// @remarks A gateway that was killed, stopped or paused in that time is exempt; faults of the store exempt none.
void checkAnswersFollowed(const Observations& _seen, std::vector<Finding>& _findings);

/// Adds a finding for each backend server that got more requests in a window than the limit that it named allows,
/// over all gateways that had passed on such an answer half a second before and that were not killed, stopped or
/// paused in the time that gateways have for a change.
void checkServerLimits(const Observations& _seen, std::vector<Finding>& _findings);

/// Adds a finding for each span in which brittle backend servers fell over more often than allowed, or in which too
/// few requests were served by gateways that were not disturbed.
/// @remarks A fall counts if most requests that arrived at the server in the second before came from gateways that
/// were not killed, stopped or paused in the time that gateways have for a change.
void checkBrittleServers(const Observations& _seen, std::vector<Finding>& _findings);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H
