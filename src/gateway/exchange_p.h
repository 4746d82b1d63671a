// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What the two halves of an exchange share.

#ifndef BEACONGATE_GATEWAY_EXCHANGE_P_H
#define BEACONGATE_GATEWAY_EXCHANGE_P_H

#include "beacongate/types.h"

namespace beacongate
{
/// After a refusal that lies with the moment's load.
inline constexpr Micros kShortRetryAfter = 100 * kMillisecond;

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_EXCHANGE_P_H
