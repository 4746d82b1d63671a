// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// State of one request at an entry.

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
/// Phase of a request.
enum class Phase
{
	AwaitClaim, ///< The claim has been requested from the key's home.
	Attached,   ///< Another entry executes the request and sends the answer.
	Queued,
	Running,
	Finished, ///< Kept for callers that repeat its key.
};

/// Bit set in the ids of requests and answers handed over by another entry; ids of exchanges never have it.
inline constexpr RequestId kHandedOverBit = RequestId{1} << 63;

/// @returns the id of a request as shown to callers and operators; it also serves as a key to reattach with.
inline std::string requestName(const EntryRef& _entry, RequestId _request)
{
	return _entry.id + ":" + std::to_string(_entry.incarnation) + ":" + std::to_string(_request);
}

/// Receiver of an answer: a local exchange or an attachment of another entry.
struct Subscriber
{
	ExchangeId exchange = 0; ///< 0 for another entry.
	EntryRef peer;
	std::uint64_t attach = 0;
	std::uint64_t next = 0; ///< Next token to send.
};

/// Kind of a decision about a request.
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

/// One decision with its inputs.
struct Decision
{
	Micros at = 0;
	DecisionKind kind = DecisionKind::Accepted;
	std::string subject;       ///< Backend server or entry, or empty.
	std::uint64_t weighed = 0; ///< Number of alternatives, for kinds that have them.
	std::uint64_t value = 0;   ///< Tokens expected or delivered, by kind.
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
	std::uint64_t claimNumber = 0; ///< Number of the claim request under which it may run, 0 for none.
	bool claimed = false;
	bool handedOver = false; ///< Another entry handed it over to this one.
	std::string callerKey;   ///< Key with which its caller can reattach.
	std::uint64_t claimGeneration = 0;
	std::optional<ClaimRequestRef> released; ///< Grant released by its holder; named in the next claim request.
	Micros peerDeadline = 0;                 ///< Until when claim requests and attachments are resent.
	Micros nextRetry = kNever;               ///< Time of the next resend of a claim request or attachment.
	Micros nextOffer = 0;                    ///< Stopping: time of the next handover offer.
	ClaimRequestRef executor;                ///< Attached: the executor that sends the answer.
	std::uint64_t attach = 0;                ///< Attached: number of the attachment.

	AttemptId attempt = 0;
	BackendHandle backend;
	BackendHandle lastBackend;      ///< Backend server of the previous attempt.
	std::uint64_t prefillShare = 0; ///< Prompt tokens counted at the backend server until the first token arrives.
	unsigned attempts = 0;
	bool maySent = false; ///< A byte may have reached a backend server.
	Micros lastProgress = 0;

	TokenLog tokens;
	std::vector<Subscriber> subscribers;
	ExecutionResult result = ExecutionResult::Unknown; ///< Finished: the result.
	std::optional<KeptAnswer> answer;
	std::vector<Decision> decisions;
};

/// @returns the request as an item of its service's queue.
inline QueueItem queueItem(const Request& _request)
{
	return QueueItem{_request.id, _request.cost, _request.priority};
}

/// @returns the outcome to report if the request is abandoned now.
inline Outcome outcomeOf(const Request& _request)
{
	return _request.maySent ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_REQUEST_H
