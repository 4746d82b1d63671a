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
/// Of whom a message tells.
enum class GossipKind : std::uint8_t
{
	Report,         ///< The sender alone.
	DataCentreSums, ///< All gateways of the sender's data centre, for collectors of other data centres.
	FleetSums,      ///< The whole fleet, in answer to a report.
	Echo,           ///< Nothing: it answers a report, so that the next one is known to be new.
};

/// One datagram.
struct GossipMessage
{
	GossipKind kind = GossipKind::Report;
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
	std::string dataCentre;                ///< The sender's.
	std::uint64_t contentFingerprint = 0;  ///< Of the store's content that the sender holds.
	Micros contentAge = kNever;            ///< How long ago that was certainly the newest.
	bool whole = true;                     ///< Of a report: no quota that was ever taken from is left out.
	bool wantsSums = false;                ///< Of a report: the receiver is asked for the fleet's sums.
	std::size_t gateways = 1;              ///< Of whom the message tells.
	RunCounts dataCentreUsage;             ///< Of sums over a data centre: see UsageLedger::dataCentreCounts().
	std::vector<QuotaLevel> levels;        ///< For a receiver that has just started.
	std::vector<BackendIdentity> draining; ///< Backend servers that were lately found to take no new work.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GOSSIP_H
