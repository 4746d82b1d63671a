// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages between entries. Their encoding is in protocol/peercodec.h.
///
/// Roles: the *home* of a key keeps its claim, the *executor* is the entry that was granted the
/// claim and sends the request, a *requester* is any entry that received a request with the key.

#ifndef BEACONGATE_COORDINATION_PEERMESSAGES_H
#define BEACONGATE_COORDINATION_PEERMESSAGES_H

#include "beacongate/errors.h"
#include "beacongate/types.h"
#include "coordination/payload.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace beacongate
{
/// Identifies one claim request of one run of an entry; never reused.
struct ClaimRequestRef
{
	EntryRef entry;
	std::uint64_t number = 0;
	auto operator<=>(const ClaimRequestRef&) const = default;
	bool operator==(const ClaimRequestRef&) const = default;
};

/// State of a claimed key at its home.
enum class ClaimState
{
	Granted,  ///< The executor may start it, is running it or has run it.
	Done,     ///< It ran and has an answer.
	Unknown,  ///< It may have run and will not run again.
	Released, ///< The executor released the grant unused.
};

/// Claim of a key, as its home stores it.
struct Claim
{
	std::string key;
	std::uint64_t digest = 0; ///< Hash of the request; another request with the same key is rejected.
	ClaimRequestRef executor;
	ClaimState state = ClaimState::Granted;
	std::uint64_t generation = 0; ///< Increases with each grant; the copy with the larger value is newer.
};

/// Final answer of a keyed request, kept for callers that repeat the key.
struct KeptAnswer
{
	unsigned status = 200;
	std::string contentType;
	std::string body;                ///< Answer of a plain service.
	std::vector<std::string> tokens; ///< Answer of a model.
	bool model = false;
};

/// Requester to home: asks for the claim of a key.
struct ClaimRequest
{
	ClaimRequestRef requestRef;
	std::string key;
	std::uint64_t digest = 0;
	std::uint64_t rosterVersion = 0;
	std::uint64_t issuedVersion = 0;
	std::optional<ClaimRequestRef> released; ///< Earlier grant under which nothing was started.
};

/// Home's answer to a ClaimRequest.
enum class ClaimVerdict
{
	Granted,  ///< The requester becomes the executor.
	Held,     ///< `claim` names the executor.
	Suspect,  ///< A lost home may have granted it; the outcome is unknown.
	NotHome,  ///< The receiver is not the home under its roster version.
	NotReady, ///< The home lacks a roster version or seals of other entries.
	Full,     ///< The home keeps limits::kClaims claims already.
	Mismatch, ///< The key was used for another request.
};

/// Home to requester: answers a ClaimRequest.
struct ClaimReply
{
	ClaimRequestRef requestRef;
	std::string key;
	ClaimVerdict verdict = ClaimVerdict::NotReady;
	Claim claim;
	std::uint64_t rosterVersion = 0;
};

/// Result of a granted key, as reported by its executor.
enum class ExecutionResult
{
	NotStarted, ///< It was not sent and will not be under this grant, or it may be repeated.
	Done,
	Unknown,
};

/// Executor to home: reports the result. It carries the answer if the executor hands it over on a stop.
struct ClaimUpdate
{
	std::string key;
	ClaimRequestRef executor;
	ExecutionResult result = ExecutionResult::Unknown;
	std::optional<KeptAnswer> answer;
};

/// Entry to entry at a roster change: the sender grants no more keys whose home under this version is
/// another entry. It carries all known claims whose home is now the receiver.
struct Seal
{
	std::uint64_t version = 0;
	std::vector<Claim> claims;
};

/// Confirms a Seal.
struct SealAck
{
	std::uint64_t version = 0;
};

/// Requester to executor: asks for the answer from a token on.
struct AttachRequest
{
	std::uint64_t attach = 0;
	std::string key;
	ClaimRequestRef executor;
	std::uint64_t offset = 0;
};

/// Executor to requester: tokens of the answer.
struct AttachTokens
{
	std::uint64_t attach = 0;
	std::uint64_t offset = 0;
	std::vector<std::string> tokens;
};

/// Executor to requester: end of the answer.
struct AttachEnd
{
	std::uint64_t attach = 0;
	ExecutionResult result = ExecutionResult::Unknown;
	bool kept = false; ///< The answer is available: in `answer` (plain) or as the tokens sent (model).
	KeptAnswer answer;
	std::uint64_t tokenCount = 0; ///< Number of tokens of a model's answer, to detect lost messages.
};

/// Stopping entry to another: asks it to continue a request. Only for repeatable requests.
struct RequestHandover
{
	std::uint64_t number = 0; ///< Request id of the sender, to confirm the handover and to detect duplicates.
	std::string team;
	std::string service;
	std::string callerKey;                   ///< Idempotency key with which the caller reattaches.
	std::optional<ClaimRequestRef> released; ///< Grant of the sender, if it had one.
	CallPayload payload;
	std::vector<std::string> tokens; ///< Tokens delivered so far.
	int priority = 0;
	Micros deadlineLeft = 0;
};

/// Confirms a RequestHandover; the sender then ends its own attempt.
struct HandoverAck
{
	std::uint64_t number = 0;
};

using PeerMessage = std::variant<ClaimRequest, ClaimReply, ClaimUpdate, Seal, SealAck, AttachRequest, AttachTokens,
								 AttachEnd, RequestHandover, HandoverAck>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_PEERMESSAGES_H
