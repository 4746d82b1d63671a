// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Whether gateways did what backend servers asked for in their answers. Pure.

#ifndef BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H
#define BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H

#include "soak/checker.h"

namespace beacongate::soak
{
/// Adds a finding for each backoff in which too many requests of its gateway arrived, and for each request that
/// reached a backend server which had said in an answer through the same process that it leaves.
/// @remarks A gateway that was killed, stopped or stood still in that time is excused; the store's faults excuse
/// nothing.
void checkAnswersHeeded(const Observations& _seen, std::vector<Finding>& _findings);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_ANSWERCHECK_H
