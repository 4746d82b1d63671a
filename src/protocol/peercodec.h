// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Encodings of what this project's processes send each other: peer messages in MessagePack, rosters and VM views
/// in JSON.

#ifndef BEACONGATE_PROTOCOL_PEERCODEC_H
#define BEACONGATE_PROTOCOL_PEERCODEC_H

#include "coordination/peermessages.h"
#include "protocol/json.h"
#include "state/fleetview.h"

#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Messages from one entry to another, sent in one HTTP body.
struct PeerEnvelope
{
	EntryRef from;
	EntryRef to;
	std::vector<PeerMessage> messages;
};

/// @returns the envelope in MessagePack.
std::string encodeEnvelope(const PeerEnvelope& _envelope);

/// Decodes an envelope.
/// @throws Error MalformedRequest where the bytes are not a valid envelope.
PeerEnvelope decodeEnvelope(std::string_view _bytes);

/// @returns the roster as JSON.
Json toJson(const Roster& _roster);

/// Decodes a roster that toJson() encoded.
/// @throws Error MalformedRequest where a member is missing or has the wrong type.
Roster readRoster(const Json& _json);

/// @returns the view of leaving and gone VMs as JSON.
Json toJson(const VmView& _vms);

/// Decodes a VM view that toJson() encoded.
/// @throws Error MalformedRequest where a member is missing or has the wrong type.
VmView readVmView(const Json& _json);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_PEERCODEC_H
