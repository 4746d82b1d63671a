// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants that both halves of the quota ledger use.

#ifndef BEACONGATE_COORDINATION_QUOTALEDGER_P_H
#define BEACONGATE_COORDINATION_QUOTALEDGER_P_H

namespace beacongate
{
/// In the span of news are no crowd: a small team's next one passes whole.
inline constexpr double kFewRequests = 4.0;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTALEDGER_P_H
