// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// MessagePack encoding of the datagrams about crashes: docs/DESIGN.md, "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_CRASHCODEC_H
#define BEACONGATE_PROTOCOL_CRASHCODEC_H

#include "coordination/crashreport.h"

#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the report as a datagram.
std::string encodeCrashReport(const CrashReport& _report);

/// @returns true if the kind of a datagram is that of a report about crashes.
bool isCrashDatagram(std::string_view _bytes);

/// @returns the report; nullopt where the bytes are not a valid report about crashes.
std::optional<CrashReport> decodeCrashReport(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_CRASHCODEC_H
