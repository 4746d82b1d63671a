// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a gateway reads from, and adds to, the heads of messages that it forwards unread.

#ifndef BEACONGATE_GATEWAY_REQUESTINFO_H
#define BEACONGATE_GATEWAY_REQUESTINFO_H

#include "coordination/balancer.h"
#include "transport/messageparser.h"

#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// A caller's request as far as decisions need it.
struct RequestInfo
{
	std::string id; ///< Of this attempt of the caller; empty where there is none.
	std::string host;
	std::string key; ///< Empty where there is none.
	std::optional<Micros> deadline;
	std::optional<std::uint64_t> promptTokens;
	std::uint64_t outputTokens = 0; ///< Most that it generates.
	std::vector<PromptPart> parts;
	std::string lastEventId; ///< Empty where the stream begins at its start.
};

/// What a gateway sets on a request that it forwards.
struct ForwardFields
{
	Micros timeLeft = 0;
	std::string backendId;
	std::string team; ///< Empty for anonymous callers.
	std::optional<unsigned> priority;
	std::string lastEventId;
};

/// A backend server's answer as far as decisions need it.
struct AnswerInfo
{
	bool notExecuted = false; ///< It says that it did not run the request.
	bool misdirected = false; ///< Another backend server has the address.
	bool stamped = false;     ///< It carries the backend server's signature.
	bool encoded = false;     ///< Its body is not in the form that was asked for.
	bool leaving = false;     ///< It says that it takes no new work any more.
	/// For how long it wants no request from this gateway; set where it turned one away and says so.
	std::optional<Micros> backoff;
	bool backoffUnreadable = false; ///< It says so in a form that is not understood.
	std::string id;                 ///< The request that it answers.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_REQUESTINFO_H
