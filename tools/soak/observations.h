// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a soak sees from outside the gateways: callers' answers, backend servers' runs, the store's
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
/// What may be done with a request.
enum class RequestKind
{
	Safe,
	Unsafe,
	StreamOnce,  ///< A stream that may not be resumed.
	StreamAgain, ///< A stream that may be resumed.
};

/// @returns whether a request of this kind may run more than once.
constexpr bool isRepeatable(RequestKind _kind)
{
	return _kind == RequestKind::Safe || _kind == RequestKind::StreamAgain;
}

/// One attempt of a caller.
struct ObservedRequest
{
	std::string id;
	RequestKind kind = RequestKind::Safe;
	std::string key;
	unsigned gateway = 0;
	std::uint64_t start = 0; ///< Which start of the gateway's process took it.
	Micros sent = 0;         ///< When its last byte was handed to the system.
	Micros ended = 0;
	unsigned status = 0;      ///< 0 where no head came.
	bool whole = false;       ///< The answer was complete by its framing.
	bool right = false;       ///< The answer is the backend server's own, to this request.
	bool connected = false;   ///< A connection came up.
	bool gaveUp = false;      ///< The caller ended the connection itself.
	std::string backend;      ///< Whose answer it is; empty for an answer of the gateway's own.
	bool saysLeaving = false; ///< The backend server says in its answer that it takes no new work any more.
	std::string team;         ///< With a limit; empty for the team without one.
	double tokens = 0.0;      ///< That it is sent with.
};

/// What a team was allowed, by the store's acknowledgements.
struct TeamLimit
{
	std::string team;
	double ratePerSecond = 0.0;
	double burst = 0.0;
	bool countsTokens = false; ///< It counts tokens, not requests.
	double slack = 0.0;        ///< That may run in a window on top of the tolerance.
	Micros from = 0;
	Micros until = kNever;
};

/// A backend server began to run a request.
struct ObservedRun
{
	std::string id;
	std::string backend;
	Micros began = 0;
	std::string team = {}; ///< As the backend server was told.
};

/// A request reached a backend server, be it that it was turned away.
struct ObservedArrival
{
	std::string id;
	std::string backend;
	Micros at = 0;
	Micros backoffAsked = 0; ///< For how long the answer asked its gateway for nothing more; 0 where it did not.
};

/// Something that was done to a gateway, to all of them, to the store or to a backend server.
struct Disruption
{
	std::string what;
	Micros from = 0;
	Micros until = kNever;
	std::optional<unsigned> gateway; ///< Nothing where it touches all.
	bool ofBackend = false;          ///< A backend server misbehaves; gateways and store are sound.
};

/// A process was asked to stop.
struct PlannedStop
{
	unsigned gateway = 0;
	std::uint64_t start = 0;
	Micros requested = 0;
	Micros ended = kNever;
};

/// The store acknowledged that a backend server takes no new work.
struct Departure
{
	std::string backend;
	Micros acknowledged = 0;
};

/// When a key was in the configuration, by the store's acknowledgements.
struct KeyLife
{
	std::string key;
	Micros added = 0;
	Micros removed = kNever;
};

/// A usage report that the platform took.
struct UsageReport
{
	std::string window;
	std::string counts;
	std::string holder;
	std::uint64_t fence = 0;
};

/// The bounds that the gateways were given.
struct Bounds
{
	Micros contact = 3 * kSecond;          ///< After a disruption, until time-bound promises hold again.
	Micros drain = 2 * kSecond;            ///< From a departure until no new work arrives.
	Micros configApply = 2 * kSecond;      ///< From an acknowledgement until a configuration is in force.
	Micros revocation = 4 * kSecond;       ///< From an acknowledgement until a removed key runs nothing.
	Micros underWay = 500 * kMillisecond;  ///< From a backoff's answer until what was under way has arrived.
	unsigned mostInBackoff = 2;            ///< Requests of a gateway that may arrive from then until its end.
	Micros takeSpan = 2500 * kMillisecond; ///< After a request to stop, requests still get an answer.
	Micros quotaWindow = 8 * kSecond;      ///< Over which a team's runs are counted.
	double quotaTolerance = 0.1;           ///< Of what a limit gives in it, that may run on top.
};

/// All of one soak.
struct Observations
{
	Bounds bounds;
	std::vector<ObservedRequest> requests;
	std::vector<ObservedRun> runs;
	std::vector<ObservedArrival> arrivals;
	std::vector<Disruption> disruptions;
	std::vector<PlannedStop> stops;
	std::vector<Departure> departures;
	std::vector<KeyLife> keys;
	std::vector<TeamLimit> limits; ///< One after the other for each team.
	std::vector<UsageReport> reports;
	std::size_t replaced = 0;             ///< Gateways that were replaced by another build.
	std::vector<std::string> unaskedEnds; ///< Processes that ended by themselves.
	Micros settled = kNever;              ///< From then on nothing was done and everything has to work.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_OBSERVATIONS_H
