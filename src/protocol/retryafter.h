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
/// Longest span that is read as such; a longer one counts as this.
inline constexpr Micros kMaxRetryAfter = 86'400 * kSecond;

/// Reads a number of seconds, fractions allowed. Dates are not taken: they would need clocks that agree.
/// @returns the span, or nothing where the text is no such number or is negative.
std::optional<Micros> parseRetryAfter(std::string_view _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_RETRYAFTER_H
