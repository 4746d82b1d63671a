// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One request as the entry that received it keeps it.

#ifndef BEACONGATE_COORDINATION_REQUEST_H
#define BEACONGATE_COORDINATION_REQUEST_H

#include "coordination/events.h"
#include "coordination/fairqueue.h"
#include "coordination/tokenlog.h"
#include "state/prefixindex.h"

#include <deque>
#include <optional>

namespace beacongate
{
/// Where a request stands.
enum class Phase
{
	AwaitClaim, ///< Its key's home has been asked.
	Attached,   ///< Another entry executes it and sends the answer.
	Queued,
	Running,
	Finished, ///< Kept for callers that come again with its key.
};

/// Marks the ids of records that another entry handed over; exchanges never have it.
inline constexpr RequestId kHandedOverBit = RequestId{1} << 63;

/// @returns the id of a request that callers and operators see; also a key to come back with.
inline std::string requestName(const EntryRef& _entry, RequestId _request)
{
	return _entry.id + ":" + std::to_string(_entry.incarnation) + ":" + std::to_string(_request);
}

/// Who is told the answer: a local exchange or an attachment of another entry.
struct Subscriber
{
	ExchangeId exchange = 0; ///< 0 for another entry.
	EntryRef peer;
	std::uint64_t attach = 0;
	std::uint64_t next = 0; ///< Next token to send.
};

/// What was decided about a request.
enum class DecisionKind
{
	Accepted,
	AskedHome,
	ClaimGranted,
	AttachedTo,
	Queued,
	Dispatched,
	Retried,
	Moved,
	Finished,
	GivenUp,
};

/// One decision with what it rested on.
struct Decision
{
	Micros at = 0;
	DecisionKind kind = DecisionKind::Accepted;
	std::string subject;       ///< Backend server or entry, or empty.
	std::uint64_t weighed = 0; ///< Choices that there were.
	std::uint64_t value = 0;   ///< Tokens expected, delivered or queued, by kind.
};

/// One request.
struct Request
{
	RequestId id = 0;
	TeamHandle team;
	ServiceHandle service;
	std::shared_ptr<const CallPayload> payload;
	std::string key; ///< Team, service and idempotency key, or empty.
	std::uint64_t digest = 0;
	std::uint64_t issuedVersion = 0;
	Micros arrived = 0;
	Micros deadline = kNever;
	int priority = 0;
	bool repeatable = false;
	double cost = 1.0;
	std::uint64_t promptTokens = 0;
	BlockChain chain;

	Phase phase = Phase::Queued;
	std::uint64_t claimNumber = 0; ///< Number of the ask under which it may run, 0 for none.
	bool claimed = false;
	bool handedOver = false; ///< Another entry gave it to this one.
	std::string callerKey;   ///< Key under which its caller can come back.
	std::uint64_t claimGeneration = 0;
	std::optional<ClaimRequestRef> released; ///< Grant that its holder gave back, to be named in the next ask.
	Micros patience = 0;                     ///< Until when the home is asked again.
	Micros nextTry = kNever;                 ///< When an unanswered ask or attachment is sent again.
	Micros handoverNext = 0;                 ///< Stopping: when it is offered to another entry next.
	ClaimRequestRef executor;                ///< Attached: whose answer it is.
	std::uint64_t attach = 0;                ///< Attached: number of the attachment.

	AttemptId attempt = 0;
	BackendHandle backend;
	BackendHandle lastBackend;      ///< Of the attempt before.
	std::uint64_t prefillShare = 0; ///< Tokens accounted at the backend server until the first token.
	unsigned attempts = 0;
	bool maySent = false; ///< A byte may have reached a backend server.
	Micros lastProgress = 0;

	TokenLog tokens;
	std::vector<Subscriber> subscribers;
	ExecutionResult result = ExecutionResult::Unknown; ///< Finished: how.
	std::optional<KeptAnswer> answer;
	std::vector<Decision> decisions;
};

/// @returns the request as its service's queue knows it.
inline QueueItem queueItem(const Request& _request)
{
	return QueueItem{_request.id, _request.cost, _request.priority};
}

/// @returns what its caller has to be told where it is given up now.
inline Outcome outcomeOf(const Request& _request)
{
	return _request.maySent ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_REQUEST_H
