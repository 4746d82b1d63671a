// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// JSON forms of what passes between this project's processes: peer messages, rosters,
/// VM views and snapshots.

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
/// Messages of one entry in one HTTP body.
struct PeerEnvelope
{
	EntryRef from;
	EntryRef to;
	std::vector<PeerMessage> messages;
};

/// @returns the envelope as msgpack.
std::string encodeEnvelope(const PeerEnvelope& _envelope);

/// @throws Error MalformedRequest where the bytes are no envelope.
PeerEnvelope decodeEnvelope(std::string_view _bytes);

Json toJson(const Roster& _roster);

/// @throws Error MalformedRequest where the shape is wrong.
Roster readRoster(const Json& _json);

Json toJson(const VmView& _vms);

/// @throws Error MalformedRequest where the shape is wrong.
VmView readVmView(const Json& _json);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_PEERCODEC_H
