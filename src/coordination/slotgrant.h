// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages between gateways about the slots of brittle backend servers. Their encoding is in protocol/slotcodec.h.

#ifndef BEACONGATE_COORDINATION_SLOTGRANT_H
#define BEACONGATE_COORDINATION_SLOTGRANT_H

#include "beacongate/types.h"
#include "coordination/directory.h"

#include <cstdint>
#include <variant>

namespace beacongate
{
/// What a gateway has in flight at a backend server.
struct SlotUse
{
	BackendKey backend;
	unsigned inFlight = 0;
	/// Last grant of the receiver that `inFlight` takes into account; 0 for none.
	std::uint64_t lastGrant = 0;
};

/// Asks for a slot.
struct SlotRequest
{
	std::uint64_t id = 0; ///< Number given by the requester.
	SlotUse use;
	unsigned slots = 1;      ///< Slots of the backend server.
	double rejections = 0.0; ///< Rejections that it bears in a second.
	unsigned priority = 0;   ///< A smaller value goes first.
	Micros patience = 0;     ///< For how long the request may be queued.
};

/// Decision on a request for a slot.
enum class SlotOutcome : std::uint8_t
{
	Granted,
	Queued, ///< Another answer follows if a slot becomes free in time.
	Denied,
};

/// Answers a request for a slot.
struct SlotAnswer
{
	std::uint64_t id = 0; ///< As in the request.
	BackendKey backend;
	SlotOutcome outcome = SlotOutcome::Denied;
	std::uint64_t grant = 0; ///< Number of the grant; a later grant of the same grantor has a larger one.
};

/// Tells what a gateway has in flight, after a request has ended and at intervals.
struct SlotReport
{
	SlotUse use;
	bool rejected = false; ///< The backend server rejected the request that ended, for want of room.
};

using SlotMessage = std::variant<SlotRequest, SlotAnswer, SlotReport>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SLOTGRANT_H
