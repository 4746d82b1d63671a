// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a gateway reads from the headers of the messages that it forwards, and what it sets there.

#ifndef BEACONGATE_GATEWAY_REQUESTINFO_H
#define BEACONGATE_GATEWAY_REQUESTINFO_H

#include "coordination/balancer.h"
#include "transport/messageparser.h"

#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// The fields of a caller's request on which decisions depend.
struct RequestInfo
{
	std::string id; ///< Id of this attempt of the caller; empty if the request has none.
	std::string host;
	std::string key; ///< Empty if the request has none.
	std::optional<Micros> deadline;
	std::optional<std::uint64_t> promptTokens;
	std::uint64_t outputTokens = 0; ///< Largest number of tokens that it generates.
	std::vector<PromptPart> parts;
	std::string lastEventId; ///< Empty if the stream starts at its beginning.
	std::string resumedId;   ///< Id of the caller's attempt that delivered the stream's first event; may be empty.
};

/// Fields that a gateway sets on a forwarded request.
struct ForwardFields
{
	Micros timeLeft = 0;
	std::string backendId;
	std::string team; ///< Empty for anonymous callers.
	std::optional<unsigned> priority;
	std::string lastEventId;
};

/// The fields of a backend server's answer on which decisions depend.
struct AnswerInfo
{
	bool notExecuted = false; ///< The backend server did not run the request.
	bool misdirected = false; ///< The address belongs to another backend server.
	bool stamped = false;     ///< The answer carries the backend server's stamp.
	bool encoded = false;     ///< The body has a content encoding.
	bool leaving = false;     ///< The backend server accepts no new requests any more.
	/// Backoff that the backend server requested; set if it rejected the request and gave a delay.
	std::optional<Micros> backoff;
	bool backoffUnreadable = false; ///< The delay has an unknown format.
	/// Requests a second that the backend server takes from all gateways together; nothing if it names no limit.
	std::optional<double> limit;
	bool limitUnreadable = false; ///< The limit is no number, or negative.
	/// Requests a second that the backend server may reject for want of room before it falls over; nothing if it is
	/// not brittle.
	std::optional<double> bearableRejections;
	bool brittlenessUnreadable = false; ///< That number is no number, or negative.
	std::optional<ServerLoad> load;     ///< Load of the backend server; nothing if it does not state it.
	bool loadUnreadable = false;        ///< The load has an unknown format.
	std::string id;                     ///< Id of the request to which the answer belongs.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_REQUESTINFO_H
