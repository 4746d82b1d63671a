// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Checks the promises to callers and backend servers against what a soak saw. Pure.

#ifndef BEACONGATE_TOOLS_SOAK_CHECKER_H
#define BEACONGATE_TOOLS_SOAK_CHECKER_H

#include "soak/observations.h"

#include <string>
#include <vector>

namespace beacongate::soak
{
/// The promises that a soak checks.
enum class Promise
{
	OwnWholeAnswer,    ///< A success is the whole answer to its own request.
	AtMostOnce,        ///< What may not be repeated runs once at most.
	NotRun,            ///< What was told not to have run never runs.
	NoWorkForLeaving,  ///< A leaving backend server receives no new work.
	PlannedStopCuts,   ///< A planned stop cuts no request off.
	ConfigInForce,     ///< A new key works everywhere within the bound.
	ConfigNeverBack,   ///< A key that a process knew to be removed is not taken by it again.
	RevocationInForce, ///< A removed key runs nothing beyond the bound, whatever fails.
	OneReportAWindow,  ///< Two usage reports for one window never differ.
	OneHolder,         ///< A fencing token has one holder, and never falls.
	ProcessLives,      ///< No process ends by itself.
	ServesAgain,       ///< Once nothing is disrupted, requests are served.
	QuotaKept,         ///< No more of a team runs in any window than its limit and the tolerance allow.
	BackoffKept,       ///< A backend server that asks a gateway for a backoff gets none of its requests meanwhile.
	LeavingHeard, ///< One that says in an answer that it leaves gets no new work of the gateway that passed it on.
	ServedBelowLimit, ///< A team that asks for less than its limit is refused nothing.
};

/// @returns the name used in reports.
const char* toString(Promise _promise);

/// A promise that was broken.
struct Finding
{
	Promise promise = Promise::OwnWholeAnswer;
	std::string detail;
};

/// @returns all promises that were broken, each instance by itself.
std::vector<Finding> check(const Observations& _seen);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_CHECKER_H
