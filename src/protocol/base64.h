// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Standard base64 with padding, as key-value stores put bytes into JSON.

#ifndef BEACONGATE_PROTOCOL_BASE64_H
#define BEACONGATE_PROTOCOL_BASE64_H

#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the bytes as base64 with padding.
std::string toBase64(std::string_view _bytes);

/// @throws Error MalformedRequest where the text is no base64.
std::string fromBase64(std::string_view _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_BASE64_H
