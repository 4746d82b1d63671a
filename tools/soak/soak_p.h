// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Gateways and backend servers of a soak, shared by its source files.

#ifndef BEACONGATE_TOOLS_SOAK_SOAK_P_H
#define BEACONGATE_TOOLS_SOAK_SOAK_P_H

#include "soak/soak.h"

#include <atomic>

namespace beacongate::soak
{
/// Number of backend servers that accept work during the whole soak.
inline constexpr unsigned kBackends = 3;
/// Number of backend servers in soaks in which some of them take few requests or none.
inline constexpr unsigned kManyBackends = 8;
/// Port at which gateways accept requests.
inline constexpr std::uint16_t kCallerPort = 19100;

/// Slots of backend servers that may be brittle.
inline constexpr unsigned kBrittleSlots = 4;

/// Backend servers of the small plain service in soaks with uneven servers, and the slots of each.
inline constexpr unsigned kSmallBackends = 2;
inline constexpr unsigned kSmallSlots = 4;
/// Slots of the engines in these soaks.
inline constexpr unsigned kEngineSlots = 16;
/// Mean tokens of a prompt in these soaks.
inline constexpr double kMeanPromptTokens = 4800.0;

/// A gateway with the link between it and the store.
struct Soak::Gateway
{
	Address address;
	std::unique_ptr<FaultProxy> storeLink;
	std::unique_ptr<GatewayProcess> process;
	bool stopRequested = false;   ///< A graceful stop of its process was requested.
	bool paused = false;          ///< Its process is paused.
	bool storeLinkFaulty = false; ///< A fault is injected into its link to the store.
	std::size_t stop = 0;
};

/// A backend server with the link to it.
struct Soak::Backend
{
	std::string id;
	Address address;
	std::atomic<std::uint64_t> born = standin::kFirstStartTimeMs;
	std::unique_ptr<standin::PlatformWorker> worker;
	std::unique_ptr<FaultProxy> link;
	std::string service = standin::kSiteService;
	unsigned slots = 0;
	double lasting = 1.0; ///< See WorkerPace.
	bool leaving = false;
	bool rejecting = false; ///< The backend server currently rejects requests.
	bool limited = false;   ///< The backend server currently names a limit.
};

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_SOAK_P_H
