// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// MessagePack encoding of the datagrams about brittle backend servers and those with limits: docs/DESIGN.md,
/// "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_SLOTCODEC_H
#define BEACONGATE_PROTOCOL_SLOTCODEC_H

#include "coordination/brittleservices.h"
#include "coordination/slotgrant.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Largest number of records in a datagram about brittle services.
inline constexpr std::size_t kMaxBrittleRecords = 32;

/// @returns the message as a datagram.
std::string encodeSlot(const SlotMessage& _message);

/// @returns true if the kind of a datagram is that of a message about slots.
bool isSlotDatagram(std::string_view _bytes);

/// @returns the message; nullopt where the bytes are not a valid message about slots.
std::optional<SlotMessage> decodeSlot(std::string_view _bytes);

/// @returns the records as a datagram.
std::string encodeBrittle(const std::vector<BrittleServiceRecord>& _records);

/// @returns true if the kind of a datagram is that of a report about brittle services.
bool isBrittleDatagram(std::string_view _bytes);

/// @returns the records; nullopt where the bytes are not a valid report about brittle services.
std::optional<std::vector<BrittleServiceRecord>> decodeBrittle(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_SLOTCODEC_H
