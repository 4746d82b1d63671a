// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// MessagePack encoding of the datagrams about backend servers' limits: docs/DESIGN.md, "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_LIMITCODEC_H
#define BEACONGATE_PROTOCOL_LIMITCODEC_H

#include "coordination/backendlimits.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// Largest number of records in a datagram.
inline constexpr std::size_t kMaxLimitRecords = 32;

/// @returns the records as a datagram.
std::string encodeLimits(const std::vector<BackendLimitRecord>& _records);

/// @returns true if the kind of a datagram is that of a report about limits.
bool isLimitDatagram(std::string_view _bytes);

/// @returns a datagram that asks for the limits in force and the brittle services. It reads as a report without
/// records to builds that do not know it.
std::string encodeLimitQuery();

/// @returns true if a report about limits asks for what is in force.
bool isLimitQuery(std::string_view _bytes);

/// @returns the records; nullopt where the bytes are not a valid report about limits.
std::optional<std::vector<BackendLimitRecord>> decodeLimits(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_LIMITCODEC_H
