// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Data that a soak records outside the gateways: callers' answers, backend servers' runs and the store's
/// acknowledgements.

#ifndef BEACONGATE_TOOLS_SOAK_OBSERVATIONS_H
#define BEACONGATE_TOOLS_SOAK_OBSERVATIONS_H

#include "beacongate/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace beacongate::soak
{
/// Whether a request may be retried or resumed.
enum class RequestKind
{
	Safe,
	Unsafe,
	StreamOnce,  ///< A stream that may not be resumed.
	StreamAgain, ///< A stream that may be resumed.
};

/// @returns true if a request of this kind may run more than once.
constexpr bool isRepeatable(RequestKind _kind)
{
	return _kind == RequestKind::Safe || _kind == RequestKind::StreamAgain;
}

/// @returns true if a request of this kind is answered with a stream.
constexpr bool isStream(RequestKind _kind)
{
	return _kind == RequestKind::StreamOnce || _kind == RequestKind::StreamAgain;
}

/// One request of a caller and its outcome.
struct ObservedRequest
{
	std::string id;
	RequestKind kind = RequestKind::Safe;
	std::string key;
	unsigned gateway = 0;
	std::uint64_t start = 0; ///< Ordinal of the start of the gateway's process that took the request.
	Micros sent = 0;         ///< When its last byte was written to the socket.
	Micros ended = 0;
	unsigned status = 0;    ///< 0 if no response head was received.
	bool complete = false;  ///< The answer was complete according to its framing.
	bool correct = false;   ///< The answer is the one that the backend server generated for this request.
	bool connected = false; ///< The connection was established.
	bool abandoned = false; ///< The caller closed the connection before the answer was complete.
	std::string backend;    ///< Backend server that answered; empty if the gateway itself generated the answer.
	bool announcesLeaving = false; ///< The answer announces that the backend server accepts no new work.
	bool namesLimit = false;       ///< The answer names a limit of the backend server.
	std::string team;              ///< Team with a limit; empty for the team without one.
	std::string body = "body";     ///< Body of a request that is not Safe.
	bool crashes = false;          ///< Backend servers crash when they run it.
	double tokens = 0.0;           ///< Tokens that the request declares.
};

/// A team's limit and the time in which it was in force, according to the store's acknowledgements.
struct TeamLimit
{
	std::string team;
	double ratePerSecond = 0.0;
	double burst = 0.0;
	bool countsTokens = false; ///< The limit counts tokens instead of requests.
	double slack = 0.0;        ///< Amount that may run in a window in addition to the tolerance.
	Micros from = 0;
	Micros until = kNever;
};

/// The start of a request's execution on a backend server.
struct ObservedRun
{
	std::string id;
	std::string backend;
	Micros began = 0;
	std::string team = {};    ///< Team that the gateway named to the backend server.
	std::string content = {}; ///< Path and body.
};

/// A crash of a backend server.
struct ObservedCrash
{
	std::string backend;
	Micros at = 0;
	std::string content; ///< Path and body of the request that caused it; empty if none did.
};

/// The arrival of a request at a backend server, whether it was accepted or rejected.
struct ObservedArrival
{
	std::string id;
	std::string backend;
	Micros at = 0;
	Micros requestedBackoff = 0; ///< Backoff that the answer requested of the gateway; 0 if none.
};

/// A time in which a backend server named a limit in its answers.
struct ServerLimit
{
	std::string backend;
	double perSecond = 0.0;
	Micros from = 0;
	Micros until = kNever;
};

/// A time in which all backend servers named themselves brittle.
struct BrittleSpan
{
	std::size_t servers = 0;
	Micros from = 0;
	Micros until = kNever;
};

/// Work that the servers of one kind of requests do in a second.
struct ServedCapacity
{
	bool streams = false;   ///< Capacity for streams, in prompt tokens; otherwise for calls, in requests.
	double perSecond = 0.0; ///< With the servers' speeds and the mean effect of noise.
};

/// A fault or a change that was injected into a gateway, all gateways, the store or a backend server.
struct Disruption
{
	std::string what;
	Micros from = 0;
	Micros until = kNever;
	std::optional<unsigned> gateway; ///< Empty if all gateways are affected.
	bool backendOnly = false;        ///< Only a backend server is at fault; gateways and store are healthy.
};

/// A graceful stop that was requested of a gateway's process.
struct PlannedStop
{
	unsigned gateway = 0;
	std::uint64_t start = 0;
	Micros requested = 0;
	Micros ended = kNever;
};

/// The store's acknowledgement that a backend server accepts no new work.
struct Departure
{
	std::string backend;
	Micros acknowledged = 0;
};

/// The time in which a key was part of the configuration, according to the store's acknowledgements.
struct KeyLifetime
{
	std::string key;
	Micros added = 0;
	Micros removed = kNever;
};

/// A usage report that the platform accepted.
struct UsageReport
{
	std::string window;
	std::string counts;
	std::string holder;
	std::uint64_t fence = 0;
};

/// Time limits and tolerances that the gateways have to keep.
struct Bounds
{
	Micros contact = 3 * kSecond;     ///< From the end of a disruption until time-bound promises hold again.
	Micros drain = 2 * kSecond;       ///< From a departure's acknowledgement until no new work arrives.
	Micros configApply = 2 * kSecond; ///< From an acknowledgement until a configuration is in force.
	Micros revocation = 4 * kSecond;  ///< From an acknowledgement until no request with a removed key runs.
	Micros inFlightSpan =
		500 * kMillisecond;    ///< From an answer with a backoff until requests in flight have arrived.
	unsigned maxInBackoff = 2; ///< Requests of one gateway that may arrive from then until the backoff ends.
	Micros acceptSpan = 2500 * kMillisecond; ///< From a stop request until new requests may remain unanswered.
	std::size_t crashesAllowed = 3;   ///< Backend servers that one request may crash before it has to be stopped.
	std::size_t lateSends = 3;        ///< Times that it may be sent later than `contact` after that.
	Micros limitWindow = 4 * kSecond; ///< Window over which the requests to a server with a limit are counted.
	double limitFactor = 1.5;         ///< Factor on what a server's limit allows in a window.
	double limitSlack = 5.0;          ///< Requests in a window in addition.
	Micros quotaWindow = 8 * kSecond; ///< Window over which a team's runs are counted.
	double fallsAllowed = 2.0;        ///< Falls of brittle backend servers in one span.
	double fallShareAllowed = 0.1;    ///< Falls in addition, as a share of the number of servers.
	double brittleServedShare = 0.5;  ///< Share of the requests sent in a brittle span that have to be served.
	Micros loadWindow = 2 * kSecond;  ///< Window over which the load is compared with the capacity.
	double lowLoadShare = 0.5;        ///< Share of the capacity below which nearly all requests have to be served.
	double lowLoadServedShare = 0.95; ///< Share of the requests that have to be served then.
	double quotaTolerance = 0.1;      ///< Share of the window's limit that may run in addition.
};

/// All data that one soak recorded.
struct Observations
{
	Bounds bounds;
	std::vector<ObservedRequest> requests;
	std::vector<ObservedRun> runs;
	std::vector<ObservedArrival> arrivals;
	std::vector<ObservedCrash> crashes;
	std::vector<ServerLimit> serverLimits;
	std::vector<BrittleSpan> brittleSpans;
	/// Capacities of services under admission; empty if the soak has none.
	std::vector<ServedCapacity> capacities;
	std::vector<Disruption> disruptions;
	std::vector<PlannedStop> stops;
	std::vector<Departure> departures;
	std::vector<KeyLifetime> keys;
	std::vector<TeamLimit> limits; ///< Ordered by time for each team.
	std::vector<UsageReport> reports;
	std::size_t replaced = 0;                 ///< Number of replacements of a gateway by another build.
	std::vector<std::string> unexpectedExits; ///< Processes that ended without a signal from the soak.
	Micros settled = kNever;                  ///< From then on no fault is injected and requests have to be served.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_OBSERVATIONS_H
