// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What goes into the entry's decision core and what comes out.

#ifndef BEACONGATE_COORDINATION_EVENTS_H
#define BEACONGATE_COORDINATION_EVENTS_H

#include "beacongate/config.h"
#include "beacongate/errors.h"
#include "coordination/payload.h"
#include "coordination/peermessages.h"
#include "state/backends.h"
#include "state/fleetview.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace beacongate
{
/// A caller's request, read and checked for form.
struct CallerRequest
{
	ExchangeId exchange = 0;
	std::string token;   ///< Bearer token.
	std::string service; ///< Name of the service or model.
	std::shared_ptr<const CallPayload> payload;
	std::string key;                 ///< Idempotency key, or empty.
	std::uint64_t issuedVersion = 0; ///< Roster version seen before the key's first use.
	Micros deadline = 0;             ///< Span the caller gives, 0 for the default.
	int priority = 0;                ///< Larger goes first within the team.
	std::uint64_t resumeOffset = 0;  ///< First token that the caller lacks.
};

/// The caller closed its connection.
struct CallerGone
{
	ExchangeId exchange = 0;
};

/// Tokens of a model's stream, in the order in which they arrived.
struct AttemptTokens
{
	AttemptId attempt = 0;
	std::uint64_t offset = 0; ///< Place of the first one in the whole answer.
	std::vector<std::string> tokens;
};

/// A model's stream ended with its terminal event, or a plain answer is whole.
struct AttemptDone
{
	AttemptId attempt = 0;
	unsigned status = 200;
	std::string contentType;
	std::string body;
	std::uint64_t tokenCount = 0; ///< Model: tokens of the whole answer, so that a lost one is noticed.
};

/// How an attempt failed.
enum class AttemptFault
{
	NotSent,     ///< No byte can have reached the backend server.
	NotAccepted, ///< The backend server answered that it has not taken the request.
	Refused,     ///< The backend server answered with an error that a retry does not mend.
	Broken,      ///< The connection or the stream ended early, or the answer made no sense.
};

/// An attempt ended without a whole answer.
struct AttemptFailed
{
	AttemptId attempt = 0;
	AttemptFault fault = AttemptFault::Broken;
	unsigned status = 0;
	std::string body;
};

/// Control hands over what it has accepted.
struct SnapshotArrived
{
	Snapshot snapshot;
};

/// A backend server reported its load or evicted blocks.
struct BackendReported
{
	std::string backend;
	LoadReport report;
	BlockChain evicted;
};

/// Another entry sent a message.
struct PeerArrived
{
	EntryRef from;
	PeerMessage message;
};

/// Time has passed.
struct Tick
{
};

/// The operator or the platform asked this process to end.
struct StopRequested
{
	Micros notice = kNever; ///< Span that is left.
};

using Event = std::variant<CallerRequest, CallerGone, AttemptTokens, AttemptDone, AttemptFailed, SnapshotArrived,
						   BackendReported, PeerArrived, Tick, StopRequested>;

/// Send a request to a backend server.
struct StartAttempt
{
	AttemptId attempt = 0;
	std::string backend;
	Address address;
	std::shared_ptr<const CallPayload> payload;
	std::shared_ptr<const std::vector<std::string>> delivered; ///< Tokens to resume after, or null.
	int priority = 0;
	bool repeatable = false; ///< False: on a connection of its own, so that "nothing sent" can be told.
	Micros deadline = kNever;
};

/// Stop an attempt; nothing of it is wanted any more.
struct CancelAttempt
{
	AttemptId attempt = 0;
};

/// Send tokens to a caller.
struct AnswerTokens
{
	ExchangeId exchange = 0;
	std::uint64_t offset = 0;
	std::vector<std::string> tokens;
};

/// End a model's answer with its terminal event.
struct AnswerEnd
{
	ExchangeId exchange = 0;
	std::uint64_t promptTokens = 0;
	std::uint64_t completionTokens = 0;
};

/// Send the whole answer of a plain service.
struct AnswerWhole
{
	ExchangeId exchange = 0;
	unsigned status = 200;
	std::string contentType;
	std::string body;
};

/// Tell a caller that another entry goes on with its request.
struct AnswerMoved
{
	ExchangeId exchange = 0;
	std::string key;          ///< Idempotency key to come back with.
	std::uint64_t offset = 0; ///< First token that the caller lacks.
};

/// Send the final answer of a request that failed.
struct AnswerFailure
{
	ExchangeId exchange = 0;
	Failure failure = Failure::Internal;
	Outcome outcome = Outcome::Unknown;
	std::string detail;
	Micros retryAfter = 0; ///< Span, 0 for none.
};

/// Send a message to another entry.
struct SendPeer
{
	EntryRef to;
	Address address;
	PeerMessage message;
};

/// Everything that a stop has to wait for has ended.
struct StopFinished
{
};

using Action = std::variant<StartAttempt, CancelAttempt, AnswerTokens, AnswerEnd, AnswerWhole, AnswerMoved,
							AnswerFailure, SendPeer, StopFinished>;

using Actions = std::vector<Action>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_EVENTS_H
