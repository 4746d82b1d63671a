// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// MessagePack encoding of the datagrams about quota grants: docs/DESIGN.md, "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_QUOTACODEC_H
#define BEACONGATE_PROTOCOL_QUOTACODEC_H

#include "coordination/quotagrant.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the message as a datagram.
std::string encodeQuota(const QuotaMessage& _message);

/// @returns true if the datagram is a list that is short enough for a message about quota grants; gossip datagrams
/// have more fields.
bool isQuotaDatagram(std::string_view _bytes);

/// @returns the message; nullopt where the bytes are not a valid message about quota grants.
std::optional<QuotaMessage> decodeQuota(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_QUOTACODEC_H
