// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// JSON encoding of the usage counts that are kept in the store.

#ifndef BEACONGATE_PROTOCOL_USAGECODEC_H
#define BEACONGATE_PROTOCOL_USAGECODEC_H

#include "coordination/usageledger.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beacongate
{
/// @returns the counts of all gateway runs as JSON.
std::string encodeRunCounts(const RunCounts& _counts);

/// @returns the counts; an empty list where the text cannot be decoded.
RunCounts decodeRunCounts(std::string_view _text);

/// @returns the totals of one usage window by team, as JSON.
std::string encodeTotals(const std::map<std::string, std::uint64_t>& _totals);

/// Decodes a window's totals.
/// @throws Error StoreUnavailable where the text cannot be decoded.
std::map<std::string, std::uint64_t> decodeTotals(std::string_view _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_USAGECODEC_H
