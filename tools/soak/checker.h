// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Checks the promises to callers and backend servers against the data of a soak, without side effects.

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
	OwnWholeAnswer,    ///< A successful answer is complete and belongs to its request.
	AtMostOnce,        ///< A request that is not repeatable runs at most once.
	NotRun,            ///< A request that was answered as not run never runs.
	NoWorkForLeaving,  ///< A leaving backend server receives no new work.
	PlannedStopCuts,   ///< A graceful stop aborts no request.
	ConfigInForce,     ///< Every gateway accepts a new key within the bound.
	ConfigNeverBack,   ///< A process that knows of a key's removal does not accept the key again.
	RevocationInForce, ///< No request with a removed key runs after the bound, under any fault.
	OneReportAWindow,  ///< All usage reports for one window are equal.
	OneHolder,         ///< A fencing token has one holder and never decreases.
	ProcessLives,      ///< No process ends without a signal from the soak.
	ServesAgain,       ///< Requests are served once all disruptions are over.
	QuotaKept,         ///< In any window, a team runs no more than its limit and the tolerance allow.
	BackoffKept,       ///< A gateway sends no requests to a backend server during its backoff.
	LeavingHeard,      ///< A gateway sends no new work to a backend server whose answer announced its departure.
	ServedBelowLimit,  ///< A team that asks for less than its limit is not refused.
	CrashingStopped,   ///< A request that crashed several backend servers is not sent to others.
	ServedBesideCrash, ///< Other requests are served beside one that crashes backend servers.
	ServerLimitKept,   ///< A backend server gets no more requests than the limit that it names allows.
	ServedAtLowLoad,   ///< Nearly all requests are served while the load is far below the capacity.
	BrittleStand,      ///< Brittle backend servers do not fall over, and serve.
};

/// @returns the name used in reports.
const char* toString(Promise _promise);

/// One violation of a promise.
struct Finding
{
	Promise promise = Promise::OwnWholeAnswer;
	std::string detail;
};

/// @returns all violations, one entry for each instance.
std::vector<Finding> check(const Observations& _seen);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_CHECKER_H
