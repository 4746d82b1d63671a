// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Base64 encoding with padding, the form in which key-value stores carry bytes in JSON.

#ifndef BEACONGATE_PROTOCOL_BASE64_H
#define BEACONGATE_PROTOCOL_BASE64_H

#include <string>
#include <string_view>

namespace beacongate
{
/// @returns the bytes encoded as base64 with padding.
std::string toBase64(std::string_view _bytes);

/// Decodes base64 up to the end of the text or the first padding character.
/// @throws Error MalformedRequest where a character is not in the base64 alphabet.
std::string fromBase64(std::string_view _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_BASE64_H
