// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The dump of a gateway's state.

#ifndef BEACONGATE_GATEWAY_GATEWAYSTATE_H
#define BEACONGATE_GATEWAY_GATEWAYSTATE_H

#include "gateway/gatewaycontext.h"

#include <string>

namespace beacongate
{
/// @returns the state as JSON, without the keys of teams.
std::string describeState(const GatewayContext& _context, std::size_t _waiting, bool _holdsDuties);

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAYSTATE_H
