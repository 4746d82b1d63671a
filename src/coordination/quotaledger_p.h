// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants that several parts of the quota ledger use.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_P_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_P_H

#include "beacongate/types.h"

namespace beacongate
{
/// Requests, of all gateways in the span of news, up to which a team's next one passes whole.
inline constexpr double kFewRequests = 4.0;

/// Of the span in which a peer is heard, how old its last report is on average.
inline constexpr double kMeanDelay = 0.5;

/// A caller that was refused is told to come again after this long at the latest.
inline constexpr Micros kLongestWait = 5 * kSecond;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_P_H
