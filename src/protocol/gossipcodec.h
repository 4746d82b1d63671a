// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// MessagePack encoding of the gossip datagrams that gateways send each other.

#ifndef BEACONGATE_PROTOCOL_GOSSIPCODEC_H
#define BEACONGATE_PROTOCOL_GOSSIPCODEC_H

#include "coordination/gossip.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the message as a datagram.
std::string encodeGossip(const GossipMessage& _message);

/// @returns the message; nullopt where the bytes are not a valid message of a supported format.
std::optional<GossipMessage> decodeGossip(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_GOSSIPCODEC_H
