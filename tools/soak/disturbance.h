// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tells which gateways were disturbed when.

#ifndef BEACONGATE_TOOLS_SOAK_DISTURBANCE_H
#define BEACONGATE_TOOLS_SOAK_DISTURBANCE_H

#include "soak/observations.h"

#include <algorithm>

namespace beacongate::soak
{
/// @returns true if a gateway's process was not killed, stopped or paused in a span.
inline bool ranThroughout(const Observations& _seen, unsigned _gateway, Micros _from, Micros _until)
{
	return std::none_of(_seen.disruptions.begin(), _seen.disruptions.end(),
						[&](const Disruption& _disruption)
						{
							const bool ofProcess =
								_disruption.gateway == _gateway && _disruption.what != "store-link";
							return ofProcess && _disruption.from <= _until && _disruption.until >= _from;
						});
}

/// @returns true if the store had no fault in a span.
inline bool storeWorked(const Observations& _seen, Micros _from, Micros _until)
{
	return std::none_of(_seen.disruptions.begin(), _seen.disruptions.end(),
						[&](const Disruption& _disruption)
						{
							const bool ofStore = !_disruption.gateway && !_disruption.backendOnly;
							return ofStore && _disruption.from <= _until && _disruption.until >= _from;
						});
}

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_DISTURBANCE_H
