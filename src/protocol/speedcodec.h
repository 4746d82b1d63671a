// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Encoding of the datagrams about the speed of backend servers: docs/DESIGN.md, "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_SPEEDCODEC_H
#define BEACONGATE_PROTOCOL_SPEEDCODEC_H

#include "coordination/load/serverspeeds.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Largest number of reports in a datagram. It is then 774 bytes long.
inline constexpr std::size_t kMaxSpeedReports = 128;

/// @returns the reports as a datagram; those beyond kMaxSpeedReports and those that are no number are left out.
std::string encodeSpeeds(const std::vector<SpeedReport>& _reports);

/// @returns true if the kind of a datagram is that of a report about speeds.
bool isSpeedDatagram(std::string_view _bytes);

/// @returns the reports; nothing where the bytes are not a valid datagram.
std::optional<std::vector<SpeedReport>> decodeSpeeds(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_SPEEDCODEC_H
