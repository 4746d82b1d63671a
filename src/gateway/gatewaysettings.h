// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Settings of one gateway process.

#ifndef BEACONGATE_GATEWAY_GATEWAYSETTINGS_H
#define BEACONGATE_GATEWAY_GATEWAYSETTINGS_H

#include "beacongate/config.h"
#include "coordination/sharedretrybudget.h"

#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// Decisions under load that can be switched off, to compare a deployment without them.
struct FeatureSettings
{
	bool serverSpeeds = true; ///< The speeds that servers state are used and passed on.
	bool admission = true;  ///< Model requests are refused if no engine can read them in time, see AdmissionRules.
	bool exactSlots = true; ///< The slots of small plain services are granted one by one, see SlotRules.
};

/// Where a gateway runs, which addresses it uses, and the bounds that it must keep.
struct GatewaySettings
{
	std::string name;       ///< Name of this VM; it stays the same after a restart.
	std::string dataCentre; ///< Data centre of this VM.
	std::vector<std::string> dataCentres;
	Address callers;                ///< Listen address for callers.
	Address readiness;              ///< Listen address for the load balancer's readiness checks.
	std::optional<Address> control; ///< Listen address for other gateways and operators.
	std::uint16_t metricsPort = 0;  ///< Serves metrics on the callers' host; 0 disables it.
	std::uint16_t gossipPort = 0;   ///< Port of the datagrams between gateways, the same on all VMs.
	std::vector<Address> seeds;     ///< Control addresses of some gateways.
	Address store;                  ///< Address of the key-value service.
	Micros leaseMinimum = kSecond;  ///< Shortest lease that the store grants.
	std::optional<Address> dutyApi; ///< Address that takes usage reports and capacity orders.
	bool reportsUsage = false;      ///< The holder of the duties reports usage.
	bool ordersCapacity = false;    ///< The holder of the duties orders capacity.
	bool firstStart = false;        ///< The whole system starts for the first time, so there is no load yet.
	Micros grace = 8 * kSecond;     ///< Time from a request to stop until the process is killed.
	bool strictRevocation = false;  ///< A revoked key must not be served beyond revocationSpan.
	Micros revocationSpan = kNever; ///< See strictRevocation.
	/// After this time no request may reach a backend server that is known to leave.
	Micros drainSpan = 2 * kSecond;
	Micros leaseSpan = 3 * kSecond; ///< Length of the duty holder's lease.
	Micros usageWindow = kSecond;   ///< Length of a usage report's window.
	Micros usageDue = 10 * kSecond; ///< Time from a window's end until its report is late.
	unsigned cpuPercent = 0;        ///< CPU share of the VM in percent of a core; 0 if the settings do not give it.
	FeatureSettings features;
	RetryBudgetSettings retryBudget; ///< Budget of all gateways together.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GATEWAYSETTINGS_H
