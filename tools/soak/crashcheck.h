// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Checks that requests that crash backend servers are stopped and that others are served beside them, without side
/// effects.

#ifndef BEACONGATE_TOOLS_SOAK_CRASHCHECK_H
#define BEACONGATE_TOOLS_SOAK_CRASHCHECK_H

#include "soak/checker.h"

#include <string>
#include <vector>

namespace beacongate::soak
{
/// What one crashing request did.
struct CrashSummary
{
	std::string content;     ///< Path and body.
	std::size_t crashes = 0; ///< Backend servers that it crashed.
	/// Times that a backend server began to run it later than Bounds::contact after the last crash allowed.
	/// Gateways that were killed, stopped or paused in that span before are exempt; faults of the store exempt
	/// none.
	std::size_t lateSends = 0;
};

/// @returns a summary of each request that crashed a backend server.
std::vector<CrashSummary> crashesOf(const Observations& _seen);

/// Adds a finding for each request that was sent too often after its crashes, and for other requests that were
/// refused as if they crashed servers, or that were not served although no crashing request was sent any more.
void checkCrashes(const Observations& _seen, std::vector<Finding>& _findings);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_CRASHCHECK_H
