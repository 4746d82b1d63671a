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

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H
