// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Input events and output actions of EntryCore.

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
/// A caller's request, parsed and validated.
struct CallerRequest
{
	ExchangeId exchange = 0;
	std::string token;   ///< Bearer token.
	std::string service; ///< Name of the service or model.
	std::shared_ptr<const CallPayload> payload;
	std::string key;                 ///< Idempotency key, or empty.
	std::uint64_t issuedVersion = 0; ///< Roster version that the caller saw before it first used the key.
	Micros deadline = 0;             ///< Time allowed by the caller, 0 for the default.
	int priority = 0;                ///< Larger values are served first within the team.
	std::uint64_t resumeOffset = 0;  ///< First token that the caller lacks.
};

/// A caller closed its connection.
struct CallerGone
{
	ExchangeId exchange = 0;
};

/// Tokens of a model's stream, in order of arrival.
struct AttemptTokens
{
	AttemptId attempt = 0;
	std::uint64_t offset = 0; ///< Index of the first token in the whole answer.
	std::vector<std::string> tokens;
};

/// A model's stream ended with its terminal event, or a plain answer is complete.
struct AttemptDone
{
	AttemptId attempt = 0;
	unsigned status = 200;
	std::string contentType;
	std::string body;
	std::uint64_t tokenCount = 0; ///< Model: tokens of the whole answer, to detect lost ones.
};

/// How an attempt failed.
enum class AttemptFault
{
	NotSent,     ///< No byte reached the backend server.
	NotAccepted, ///< The backend server answered that it did not take the request.
	Refused,     ///< The backend server answered with an error that a retry would not resolve.
	Broken,      ///< The connection or the stream ended early, or the answer was invalid.
};

/// An attempt ended without a complete answer.
struct AttemptFailed
{
	AttemptId attempt = 0;
	AttemptFault fault = AttemptFault::Broken;
	unsigned status = 0;
	std::string body;
};

/// The control passed on its configuration, roster or VM view.
struct SnapshotArrived
{
	Snapshot snapshot;
};

/// A backend server reported its load and evicted prefix blocks.
struct BackendReported
{
	std::string backend;
	LoadReport report;
	BlockChain evicted;
};

/// A message of another entry arrived.
struct PeerArrived
{
	EntryRef from;
	PeerMessage message;
};

/// Periodic timer.
struct Tick
{
};

/// The operator or the platform asked this process to end.
struct StopRequested
{
	Micros notice = kNever; ///< Time until the process is ended.
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
	std::shared_ptr<const std::vector<std::string>> delivered; ///< Tokens after which the answer resumes, or null.
	int priority = 0;
	bool repeatable = false; ///< If false, it gets its own connection, so that NotSent is certain.
	Micros deadline = kNever;
};

/// Cancel an attempt; its answer is discarded.
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

/// Send the complete answer of a plain service.
struct AnswerWhole
{
	ExchangeId exchange = 0;
	unsigned status = 200;
	std::string contentType;
	std::string body;
};

/// Tell a caller that another entry continues its request.
struct AnswerMoved
{
	ExchangeId exchange = 0;
	std::string key;          ///< Idempotency key with which the caller reattaches.
	std::uint64_t offset = 0; ///< First token that the caller lacks.
};

/// Send the final answer of a request that failed.
struct AnswerFailure
{
	ExchangeId exchange = 0;
	Failure failure = Failure::Internal;
	Outcome outcome = Outcome::Unknown;
	std::string detail;
	Micros retryAfter = 0; ///< Time to wait, 0 for none.
};

/// Send a message to another entry.
struct SendPeer
{
	EntryRef to;
	Address address;
	PeerMessage message;
};

/// The stop is complete; the process may exit.
struct StopFinished
{
};

using Action = std::variant<StartAttempt, CancelAttempt, AnswerTokens, AnswerEnd, AnswerWhole, AnswerMoved,
							AnswerFailure, SendPeer, StopFinished>;

using Actions = std::vector<Action>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_EVENTS_H
