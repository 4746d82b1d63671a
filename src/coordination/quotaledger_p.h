// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants that both halves of the quota ledger use.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_P_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_P_H

#include "beacongate/types.h"

namespace beacongate
{
/// In the span of news are no crowd: a small team's next one passes whole.
inline constexpr double kFewRequests = 4.0;
/// Of the span in which a peer is heard: so old its last word is on average.
inline constexpr double kMeanDelay = 0.5;

/// A caller that was refused is told to come again after this long at the latest.
inline constexpr Micros kLongestWait = 5 * kSecond;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_P_H
