// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A gateway's record in the store of the streams that began there, as MessagePack.

#ifndef BEACONGATE_PROTOCOL_ORIGINLOGCODEC_H
#define BEACONGATE_PROTOCOL_ORIGINLOGCODEC_H

#include "coordination/streamorigin.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// @returns the record. Lifetimes are left out.
std::string encodeOriginLog(const std::vector<StreamOriginRecord>& _records);

/// @returns the streams, in the order in which they were encoded; nothing if the record is invalid.
std::optional<std::vector<StreamOriginRecord>> decodeOriginLog(std::string_view _bytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_ORIGINLOGCODEC_H
