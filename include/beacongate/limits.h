// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Fixed limits, timeouts and intervals of the system.

#ifndef BEACONGATE_LIMITS_H
#define BEACONGATE_LIMITS_H

#include "beacongate/types.h"

#include <cstddef>

namespace beacongate::limits
{
inline constexpr std::size_t kRingSlots = 8192;               ///< Messages in a ring between two threads.
inline constexpr std::size_t kRequestBodyBytes = 1u << 20;    ///< Largest body of a caller's request.
inline constexpr std::size_t kRequestHeaderBytes = 16u << 10; ///< Largest header of a caller's request.
inline constexpr std::size_t kAnswerBodyBytes = 4u << 20;    ///< Largest plain answer or event of a model's stream.
inline constexpr std::size_t kConfigBytes = 900u << 10;      ///< Largest configuration document in the store.
inline constexpr std::size_t kKeyBytes = 128;                ///< Longest Idempotency-Key.
inline constexpr std::size_t kClaims = 200'000;              ///< Claims that one home keeps at most.
inline constexpr std::size_t kKeptAnswerBytes = 256u << 10;  ///< Largest answer kept for a caller that reattaches.
inline constexpr std::size_t kKeptAnswersBytes = 64u << 20;  ///< Total size of the answers that one entry keeps.
inline constexpr std::size_t kPrefixBlocksPerBackend = 4096; ///< Blocks in the prefix index of one backend server.
inline constexpr std::size_t kPrefixBlockBytes = 256;        ///< Prompt bytes in one prefix block.
inline constexpr std::size_t kIdleConnectionsPerBackend = 64; ///< Idle connections pooled per address.
inline constexpr std::size_t kConfigHistory = 64;             ///< Change ids kept in the configuration document.
inline constexpr std::size_t kExplainedRequests = 2048;       ///< Ended requests whose decisions are kept.
inline constexpr std::size_t kDecisionsPerRequest = 32;       ///< Decisions kept for one request.
inline constexpr std::size_t kDefaultTeamQueue = 1000;        ///< Default queue limit of a team per service.
inline constexpr unsigned kMaxAttempts = 6;                   ///< Attempts of one repeatable request.
inline constexpr Micros kDefaultDeadline = 120 * kSecond;     ///< Deadline where the caller gives none.
inline constexpr Micros kMaxDeadline = kSecond * 3600;        ///< Largest deadline; a longer one is cut to it.
inline constexpr Micros kPeerCallTimeout = 1 * kSecond;       ///< Timeout of a message between entries.
/// Claim requests and attachments are resent for this long. Each message with tokens from the executor restarts the
/// time of an attachment.
inline constexpr Micros kClaimTimeout = 3 * kSecond;
inline constexpr Micros kSealRetry = 200 * kMillisecond;      ///< First delay before a seal is resent; doubles.
inline constexpr Micros kSealRetryMax = 10 * kSecond;         ///< Largest delay before a seal is resent.
inline constexpr Micros kClaimWindow = kSecond * 24 * 3600;   ///< Time for which a claimed key is kept.
inline constexpr Micros kRetryAfterMin = 1 * kSecond;         ///< Smallest Retry-After.
inline constexpr Micros kRetryAfterMax = 60 * kSecond;        ///< Largest Retry-After.
inline constexpr Micros kStoreCallTimeout = 2 * kSecond;      ///< Timeout of a call to the store.
inline constexpr Micros kStorePollInterval = 1 * kSecond;     ///< Interval of a leader's reads of the store.
inline constexpr Micros kStoreBackoffMax = 10 * kSecond;      ///< Largest backoff after failed store calls.
inline constexpr Micros kLeaseTtl = 5 * kSecond;              ///< Time to live of the data centre leader's lease.
inline constexpr Micros kGossipInterval = 1 * kSecond;        ///< Interval between version exchanges with a peer.
inline constexpr Micros kVmListInterval = 500 * kMillisecond; ///< Interval between reads of the VM list.
inline constexpr Micros kDefaultHeaderTimeout = 10 * kSecond; ///< Default timeout for a request's header.
inline constexpr Micros kDefaultIdleTimeout = 60 * kSecond;   ///< Default idle timeout of a caller's connection.
inline constexpr std::size_t kReadBytes = 16u << 10;          ///< Largest single read from a connection.
inline constexpr std::size_t kUnsentBytes = 256u << 10;      ///< Unsent bytes that pause a caller's backend server.
inline constexpr std::size_t kBufferedBytes = 96u << 20;     ///< All request bodies held by one gateway.
inline constexpr std::size_t kGatewayAnswerBytes = 8u << 20; ///< Largest answer buffered until it is complete.
inline constexpr std::size_t kEventBytes = 256u << 10;       ///< Largest event of a stream.
inline constexpr std::size_t kSnapshotBytes = 32u << 20;     ///< Largest response of the store.
/// Largest record of a backend server; a larger one is rejected as invalid. Records have about 250 bytes.
inline constexpr std::size_t kBackendRecordBytes = 8u << 10;
inline constexpr std::size_t kBackendIdBytes = 128;        ///< Longest id of a backend server.
inline constexpr std::size_t kGossipBytes = 60u << 10;     ///< Largest datagram between gateways.
inline constexpr std::size_t kGossipPeers = 16;            ///< Peers to which a gateway sends in one round.
inline constexpr Micros kGossipRound = 150 * kMillisecond; ///< Interval between gossip rounds.
/// Interval between reports to a collector. Reports of 200 B to two collectors and sums of about 1.5 kB from one of
/// them take 8 kB/s; an interval of 150 ms would take 13 kB/s.
inline constexpr Micros kCollectorRound = 250 * kMillisecond;
inline constexpr std::size_t kPendingCalls = 64; ///< Calls queued for one connection to the store.
} // namespace beacongate::limits

#endif // BEACONGATE_LIMITS_H
