// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Encodes and decodes datagrams about where streams began.

#ifndef BEACONGATE_PROTOCOL_ORIGINCODEC_H
#define BEACONGATE_PROTOCOL_ORIGINCODEC_H

#include "coordination/streamorigin.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the datagram of a message.
std::string encodeOrigin(const StreamOriginMessage& _message);

/// @returns true if a datagram is about where a stream began; it may be unreadable all the same.
bool isOriginDatagram(std::string_view _bytes);

/// @returns the message in a datagram; nothing if it is not readable.
std::optional<StreamOriginMessage> decodeOrigin(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_ORIGINCODEC_H
