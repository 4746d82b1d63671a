// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages between gateways about the slots of brittle backend servers and about servers with limits. Their
/// encoding is in protocol/slotcodec.h.

#ifndef BEACONGATE_COORDINATION_SLOTGRANT_H
#define BEACONGATE_COORDINATION_SLOTGRANT_H

#include "beacongate/types.h"
#include "coordination/directory.h"

#include <cstdint>
#include <optional>
#include <string>
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

/// Asks for leave to send a request to a brittle server or to one with a limit.
struct SlotRequest
{
	std::uint64_t id = 0; ///< Number given by the requester.
	SlotUse use;
	unsigned slots = 1;               ///< Slots of the backend server.
	std::optional<double> rejections; ///< Rejections that it bears in a second; nothing if it is not brittle.
	unsigned priority = 0;            ///< A smaller value goes first.
	Micros patience = 0;              ///< For how long the request may be queued.
	std::optional<double> limit = {}; ///< Requests a second that it allows; nothing if it names no limit.
	bool insists = false;             ///< No other home of the server knows more than the receiver.
};

/// Decision on a request for a slot.
enum class SlotOutcome : std::uint8_t
{
	Granted,
	Queued, ///< Another answer follows if a slot becomes free in time.
	Denied,
	Referred, ///< The sender has just become a home of the server; another home may know what is in use there.
};

/// Answers a request for a slot.
struct SlotAnswer
{
	std::uint64_t id = 0; ///< As in the request.
	BackendKey backend;
	SlotOutcome outcome = SlotOutcome::Denied;
	std::uint64_t grant = 0; ///< Number of the grant; a later grant of the same grantor has a larger one.
	/// Time after which a denied request may be granted, as far as the server's limit is concerned, or after which
	/// a home that referred knows what is in use.
	Micros wait = 0;
};

/// Tells what a gateway has in flight, after a request has ended and at intervals.
struct SlotReport
{
	SlotUse use;
	bool rejected = false; ///< The backend server rejected the request that ended, for want of room.
	bool unused = false;   ///< A grant of the receiver is not used.
	std::optional<double> rejections = {}; ///< Rejections that it bears in a second, if it rejected the request.
};

/// Tells that a request is sent without a grant of the receiver, which may have to grant the next ones.
struct GrantNotice
{
	BackendKey backend;
	std::string holder;               ///< Host of the gateway that sends the request.
	unsigned inUse = 0;               ///< What it has in flight at the server, this request included.
	std::optional<double> limit = {}; ///< Requests a second that the server allows; nothing if it names no limit.
};

using SlotMessage = std::variant<SlotRequest, SlotAnswer, SlotReport, GrantNotice>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SLOTGRANT_H
