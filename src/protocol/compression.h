// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// zlib compression of the long texts that gateways send each other.

#ifndef BEACONGATE_PROTOCOL_COMPRESSION_H
#define BEACONGATE_PROTOCOL_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// Compresses at zlib's fastest level, which reduces records of backend servers to a tenth of their size.
/// @returns the bytes in zlib format.
std::string compress(std::string_view _bytes);

/// Reverses compress().
/// @param[in] _maxBytes Maximum size of the result.
/// @returns the decompressed bytes; nullopt where the input is not one complete zlib stream or its content is
/// larger than `_maxBytes`.
std::optional<std::string> decompress(std::string_view _bytes, std::size_t _maxBytes);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_COMPRESSION_H
