// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What gateways tell each other in datagrams, several times a second.

#ifndef BEACONGATE_COORDINATION_GOSSIP_H
#define BEACONGATE_COORDINATION_GOSSIP_H

#include "coordination/balancer.h"
#include "coordination/demandmeter.h"
#include "coordination/quotaledger.h"
#include "coordination/usageledger.h"

#include <cstdint>
#include <string>
#include <vector>

namespace beacongate
{
/// One datagram.
struct GossipMessage
{
	GatewayRun run;                   ///< Who says this.
	std::string host;                 ///< Where it is reached.
	Micros sent = 0;                  ///< The sender's steady time.
	Micros echo = 0;                  ///< The newest `sent` that the sender has heard from the receiver.
	Micros wallClock = 0;             ///< The sender's time of day.
	Micros uptime = 0;                ///< For how long the sender has been running.
	std::uint64_t configVersion = 0;  ///< 0 where it has none.
	std::uint64_t storeRevision = 0;  ///< The revision that it knows.
	Micros configAge = kNever;        ///< How long ago that was certainly the newest.
	bool leaving = false;             ///< It is stopping.
	std::vector<std::string> members; ///< Hosts of gateways that it has heard of late.
	std::vector<QuotaReport> quotas;
	std::vector<BackendLoad> loads;
	std::vector<UsageCount> usage;
	std::vector<DemandReport> demand;
	std::vector<std::string> draining; ///< Backend servers that were lately found to take no new work.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GOSSIP_H
