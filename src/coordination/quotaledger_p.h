// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants that several parts of the quota ledger use.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_P_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_P_H

#include "beacongate/types.h"

namespace beacongate
{
/// Number of requests at all gateways within the propagation delay up to which a team's next one is admitted in
/// full.
inline constexpr double kFewRequests = 4.0;

/// Mean age of a peer's last report, as a share of the propagation delay.
inline constexpr double kMeanReportAge = 0.5;

/// Longest retry delay that is reported to a refused caller.
inline constexpr Micros kMaxWait = 5 * kSecond;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_P_H
