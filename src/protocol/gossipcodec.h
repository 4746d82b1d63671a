// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Datagrams between gateways as MessagePack.

#ifndef BEACONGATE_PROTOCOL_GOSSIPCODEC_H
#define BEACONGATE_PROTOCOL_GOSSIPCODEC_H

#include "coordination/gossip.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the datagram's bytes.
std::string encodeGossip(const GossipMessage& _message);

/// @returns the message, or nothing where the bytes are none.
std::optional<GossipMessage> decodeGossip(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_GOSSIPCODEC_H
