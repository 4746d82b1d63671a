// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Every fixed bound of the system, in one place.

#ifndef BEACONGATE_LIMITS_H
#define BEACONGATE_LIMITS_H

#include "beacongate/types.h"

#include <cstddef>

namespace beacongate::limits
{
inline constexpr std::size_t kRingSlots = 8192;               ///< Messages in a ring between two threads.
inline constexpr std::size_t kRequestBodyBytes = 1u << 20;    ///< Body of a caller's request.
inline constexpr std::size_t kRequestHeaderBytes = 16u << 10; ///< Header of a caller's request.
inline constexpr std::size_t kAnswerBodyBytes = 4u << 20;     ///< Answer of a plain service.
inline constexpr std::size_t kConfigBytes = 900u << 10;       ///< Configuration document in the store.
inline constexpr std::size_t kKeyBytes = 128;                 ///< An Idempotency-Key.
inline constexpr std::size_t kClaims = 200'000;               ///< Claims that one home keeps.
inline constexpr std::size_t kKeptAnswerBytes = 256u << 10;   ///< Answer kept for a caller that reattaches.
inline constexpr std::size_t kKeptAnswersBytes = 64u << 20;   ///< All kept answers of one entry.
inline constexpr std::size_t kPrefixBlocksPerBackend = 4096;  ///< Prefix index of one backend server.
inline constexpr std::size_t kPrefixBlockBytes = 256;         ///< Prompt bytes in one prefix block.
inline constexpr std::size_t kIdleConnectionsPerBackend = 64; ///< Pooled connections per address.
inline constexpr std::size_t kConfigHistory = 64;             ///< Change ids kept in the document.
inline constexpr std::size_t kExplainedRequests = 2048;       ///< Requests whose decisions are kept.
inline constexpr std::size_t kDecisionsPerRequest = 32;       ///< Decisions kept for one request.
inline constexpr std::size_t kDefaultTeamQueue = 1000;        ///< Queued requests of a team per service.
inline constexpr unsigned kMaxAttempts = 6;                   ///< Attempts of one repeatable request.
inline constexpr Micros kDefaultDeadline = 120 * kSecond;     ///< Where the caller gives none.
inline constexpr Micros kMaxDeadline = kSecond * 3600;        ///< Largest deadline that is taken.
inline constexpr Micros kPeerCallTimeout = 1 * kSecond;       ///< Deadline of a message between entries.
inline constexpr Micros kClaimTimeout = 3 * kSecond;          ///< How long a key's home is asked again.
inline constexpr Micros kSealRetry =
	200 * kMillisecond; ///< Until an unanswered seal is sent again, doubled each time.
inline constexpr Micros kSealRetryMax = 10 * kSecond;         ///< Largest such span.
inline constexpr Micros kClaimWindow = kSecond * 24 * 3600;   ///< A key may come again for this long.
inline constexpr Micros kRetryAfterMin = 1 * kSecond;         ///< Smallest Retry-After.
inline constexpr Micros kRetryAfterMax = 60 * kSecond;        ///< Largest Retry-After.
inline constexpr Micros kStoreCallTimeout = 2 * kSecond;      ///< Deadline of a call to the store.
inline constexpr Micros kStorePollInterval = 1 * kSecond;     ///< Between two reads by a data centre's leader.
inline constexpr Micros kStoreBackoffMax = 10 * kSecond;      ///< Largest wait after failed store calls.
inline constexpr Micros kLeaseTtl = 5 * kSecond;              ///< The data centre leader's lease.
inline constexpr Micros kGossipInterval = 1 * kSecond;        ///< Between two version exchanges with a peer.
inline constexpr Micros kVmListInterval = 500 * kMillisecond; ///< Between two reads of the VM list.
inline constexpr Micros kDefaultHeaderTimeout = 10 * kSecond; ///< For a request's header, where none is set.
inline constexpr Micros kDefaultIdleTimeout = 60 * kSecond;   ///< Of a caller's connection, where none is set.
inline constexpr std::size_t kReadBytes = 16u << 10;          ///< Read from a connection at once.
inline constexpr std::size_t kUnsentBytes = 256u << 10;  ///< Unsent bytes of a caller that stop its backend server.
inline constexpr std::size_t kBufferedBytes = 96u << 20; ///< All request bodies that one gateway holds.
inline constexpr std::size_t kGatewayAnswerBytes = 8u << 20; ///< An answer that is kept until it is whole.
inline constexpr std::size_t kEventBytes = 256u << 10;       ///< One event of a stream.
inline constexpr std::size_t kSnapshotBytes = 32u << 20;     ///< The store's content as one gateway reads it.
/// A backend server's record; a larger one is not kept and makes no sense. Real ones have some 250 bytes.
inline constexpr std::size_t kBackendRecordBytes = 8u << 10;
inline constexpr std::size_t kBackendIdBytes = 128;        ///< An id of a backend server.
inline constexpr std::size_t kGossipBytes = 60u << 10;     ///< One datagram between gateways.
inline constexpr std::size_t kGossipPeers = 16;            ///< Peers that a gateway sends to in one round.
inline constexpr Micros kGossipRound = 150 * kMillisecond; ///< Between two rounds.
/// Between two reports to a collector. A report of 200 B to two collectors and sums of some 1.5 kB from one of them
/// are 8 kB/s; with 150 ms they would be 13 kB/s.
inline constexpr Micros kCollectorRound = 250 * kMillisecond;
inline constexpr std::size_t kPendingCalls = 64; ///< Calls that wait for one connection to the store.
} // namespace beacongate::limits

#endif // BEACONGATE_LIMITS_H
