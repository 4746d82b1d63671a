// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a soak's parts share: its gateways and backend servers.

#ifndef BEACONGATE_TOOLS_SOAK_SOAK_P_H
#define BEACONGATE_TOOLS_SOAK_SOAK_P_H

#include "soak/soak.h"

namespace beacongate::soak
{
/// Backend servers that take work at any time.
inline constexpr unsigned kBackends = 3;
/// Where gateways take requests.
inline constexpr std::uint16_t kCallerPort = 19100;

/// A gateway with the link between it and the store.
struct Soak::Gateway
{
	Address address;
	std::unique_ptr<FaultProxy> storeLink;
	std::unique_ptr<GatewayProcess> process;
	bool asked = false;  ///< Its process was asked to stop.
	bool paused = false; ///< Its process stands still.
	bool cut = false;    ///< Something is done to its link to the store.
	std::size_t stop = 0;
};

/// A backend server with the link to it.
struct Soak::Backend
{
	std::string id;
	Address address;
	std::unique_ptr<standin::PlatformWorker> worker;
	std::unique_ptr<FaultProxy> link;
	bool leaving = false;
	bool turnsAway = false; ///< It turns requests away for a while.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_SOAK_P_H
