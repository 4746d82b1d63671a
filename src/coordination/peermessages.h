// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages between entries. A message is a value; its JSON form is in protocol/peercodec.h.
///
/// Roles: the *home* of a key keeps its claim, the *executor* is the entry that was granted
/// the claim and sends the request, an *asker* is any entry that received the key.

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
/// Names one ask of one run of an entry; never used twice.
struct ClaimRequestRef
{
	EntryRef entry;
	std::uint64_t number = 0;
	auto operator<=>(const ClaimRequestRef&) const = default;
	bool operator==(const ClaimRequestRef&) const = default;
};

/// How far a claimed key has come, as its home knows it.
enum class ClaimState
{
	Granted,  ///< The executor may run it, runs it or has run it.
	Done,     ///< It ran and was answered.
	Unknown,  ///< It may have run and never will again.
	Released, ///< The executor gave the grant back unused.
};

/// What a home keeps about a key.
struct Claim
{
	std::string key;
	std::uint64_t digest = 0; ///< Hash of the request, to refuse another request under the same key.
	ClaimRequestRef executor;
	ClaimState state = ClaimState::Granted;
	std::uint64_t generation = 0; ///< Grows with each new grant of the key; a copy with a larger one is newer.
};

/// Final answer of a keyed request, kept for callers that come again.
struct KeptAnswer
{
	unsigned status = 200;
	std::string contentType;
	std::string body;                ///< Answer of a plain service.
	std::vector<std::string> tokens; ///< Answer of a model.
	bool model = false;
};

/// Asker to home: may I run this key?
struct ClaimRequest
{
	ClaimRequestRef requestRef;
	std::string key;
	std::uint64_t digest = 0;
	std::uint64_t rosterVersion = 0;
	std::uint64_t issuedVersion = 0;
	std::optional<ClaimRequestRef> released; ///< An earlier grant whose holder said that it never started.
};

/// Home's answer to a ClaimRequest.
enum class ClaimVerdict
{
	Granted,  ///< Run it.
	Held,     ///< `claim` tells who has it.
	Suspect,  ///< A lost home may have granted it: outcome unknown.
	NotHome,  ///< Another roster version is in force here.
	NotReady, ///< Seals of other entries are missing.
	Full,     ///< No room for another claim.
	Mismatch, ///< The key was used for another request.
};

/// Home to asker.
struct ClaimReply
{
	ClaimRequestRef requestRef;
	std::string key;
	ClaimVerdict verdict = ClaimVerdict::NotReady;
	Claim claim;
	std::uint64_t rosterVersion = 0;
};

/// What became of a granted key, as its executor says.
enum class ExecutionResult
{
	NotStarted, ///< It was not sent and never will be under this grant, or it may be repeated.
	Done,
	Unknown,
};

/// Executor to home. With an answer where the executor leaves and hands it over.
struct ClaimUpdate
{
	std::string key;
	ClaimRequestRef executor;
	ExecutionResult result = ExecutionResult::Unknown;
	std::optional<KeptAnswer> answer;
};

/// Entry to entry at a roster change: from here on I grant no key whose home under this
/// version is not me, and these are all claims I know whose home now is you.
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

/// Asker to executor: send me the answer from this token on.
struct AttachRequest
{
	std::uint64_t attach = 0;
	std::string key;
	ClaimRequestRef executor;
	std::uint64_t offset = 0;
};

/// Executor to asker: some tokens of the answer.
struct AttachTokens
{
	std::uint64_t attach = 0;
	std::uint64_t offset = 0;
	std::vector<std::string> tokens;
};

/// Executor to asker: how it ended.
struct AttachEnd
{
	std::uint64_t attach = 0;
	ExecutionResult result = ExecutionResult::Unknown;
	bool kept = false; ///< Whether `answer` holds the answer (plain) or the tokens were sent (model).
	KeptAnswer answer;
	std::uint64_t tokenCount = 0; ///< All tokens of a model's answer, to detect a lost message.
};

/// An entry that leaves to another: go on with this request. Only for one that may be repeated.
struct RequestHandover
{
	std::uint64_t number = 0; ///< The sender's, to confirm it and to know it again.
	std::string team;
	std::string service;
	std::string callerKey;                   ///< Idempotency key under which the caller finds it.
	std::optional<ClaimRequestRef> released; ///< The sender's grant, where it had one.
	CallPayload payload;
	std::vector<std::string> tokens; ///< Delivered so far.
	int priority = 0;
	Micros deadlineLeft = 0;
};

/// Confirms a RequestHandover; the sender runs it no further.
struct HandoverAck
{
	std::uint64_t number = 0;
};

using PeerMessage = std::variant<ClaimRequest, ClaimReply, ClaimUpdate, Seal, SealAck, AttachRequest, AttachTokens,
								 AttachEnd, RequestHandover, HandoverAck>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_PEERMESSAGES_H
