// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateways to which changes are sent that concern the whole fleet.

#ifndef BEACONGATE_GATEWAY_FLEETTARGETS_H
#define BEACONGATE_GATEWAY_FLEETTARGETS_H

#include "gateway/gatewaycontext.h"

#include <string>
#include <vector>

namespace beacongate
{
/// @returns the hosts to which this gateway sends a change, without its own: all peers in a small fleet; in a
/// larger one the collectors of its data centre. The first collector sends it to its data centre and to the
/// collectors of the others.
/// @param[in] _collector This gateway is a collector of its data centre.
std::vector<std::string> changeTargets(const GatewayContext& _context, bool _collector, Micros _now);

/// @returns true if this gateway passes on changes that it received.
inline bool relaysChanges(const GatewayContext& _context, bool _collector)
{
	return _collector && _context.usesCollectors();
}

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_FLEETTARGETS_H
