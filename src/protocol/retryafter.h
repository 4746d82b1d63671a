// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The value of a Retry-After header.

#ifndef BEACONGATE_PROTOCOL_RETRYAFTER_H
#define BEACONGATE_PROTOCOL_RETRYAFTER_H

#include "beacongate/types.h"

#include <optional>
#include <string_view>

namespace beacongate
{
/// Upper limit of the result; longer spans are reduced to it.
inline constexpr Micros kMaxRetryAfter = 86'400 * kSecond;

/// Parses a number of seconds, which may have a fraction. HTTP dates are not accepted: they would need synchronized
/// clocks.
/// @returns the span, rounded up to whole microseconds; nullopt where the text is not a number or is negative.
std::optional<Micros> parseRetryAfter(std::string_view _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_RETRYAFTER_H
