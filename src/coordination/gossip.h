// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The messages that gateways send to each other as datagrams, several times a second.

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
/// Which gateways the content of a message covers.
enum class GossipKind : std::uint8_t
{
	Report,         ///< The sender only.
	DataCentreSums, ///< Sums over the sender's data centre, for collectors of other data centres.
	FleetSums,      ///< Sums over the whole fleet, in answer to a report.
	Echo,           ///< No content: acknowledges a message, so that the receiver's next one is known to be recent.
};

/// A datagram from one gateway to another.
struct GossipMessage
{
	GossipKind kind = GossipKind::Report;
	GatewayRun run;                   ///< Run of the sender.
	std::string host;                 ///< Address of the sender.
	Micros sent = 0;                  ///< Steady time of the sender when it sent the message.
	Micros echo = 0;                  ///< Newest `sent` that the sender has received from the receiver; 0 for none.
	Micros wallClock = 0;             ///< Wall clock of the sender.
	Micros uptime = 0;                ///< Time since the start of the sender.
	std::uint64_t configVersion = 0;  ///< Version of the sender's configuration; 0 for none.
	std::uint64_t storeRevision = 0;  ///< Store revision that the sender has read.
	Micros configAge = kNever;        ///< Time since storeRevision was confirmed as the newest.
	bool leaving = false;             ///< The sender is shutting down.
	std::vector<std::string> members; ///< Hosts of gateways that the sender has heard recently.
	std::vector<QuotaReport> quotas;
	std::vector<BackendLoad> loads;
	std::vector<UsageCount> usage;
	std::vector<DemandReport> demand;
	std::string dataCentre;                ///< Data centre of the sender.
	std::uint64_t contentFingerprint = 0;  ///< Fingerprint of the sender's copy of the store's content.
	Micros contentAge = kNever;            ///< Time since that content was confirmed as the newest.
	bool whole = true;                     ///< Reports only: every quota counter that is not zero is included.
	bool wantsSums = false;                ///< Reports only: asks the receiver for the fleet's sums.
	std::size_t gateways = 1;              ///< Number of gateways that the message covers.
	RunCounts dataCentreUsage;             ///< Sums of the sender's data centre, see UsageReportPlan.
	std::vector<QuotaLevel> levels;        ///< Bucket levels for a receiver that has just started.
	std::vector<BackendIdentity> draining; ///< Backend servers that were recently seen to accept no new work.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GOSSIP_H
