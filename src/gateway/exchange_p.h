// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants shared by the source files of Exchange.

#ifndef BEACONGATE_GATEWAY_EXCHANGE_P_H
#define BEACONGATE_GATEWAY_EXCHANGE_P_H

#include "beacongate/types.h"

namespace beacongate
{
/// Retry-After of a refusal that is due to the current load.
inline constexpr Micros kShortRetryAfter = 100 * kMillisecond;

/// Retry-After of a refusal while the configuration is missing or too old.
inline constexpr Micros kStoreUnavailableRetryAfter = 500 * kMillisecond;

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_EXCHANGE_P_H
