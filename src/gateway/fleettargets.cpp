// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/fleettargets.h"

#include <algorithm>

namespace beacongate
{
std::vector<std::string> changeTargets(const GatewayContext& _context, bool _collector, Micros _now)
{
	const std::string& own = _context.settings.callers.host;
	const std::string& dataCentre = _context.settings.dataCentre;
	std::vector<std::string> hosts = _context.usesCollectors()
										 ? _context.relays.topMembers(dataCentre, RelayChoice::kTopMembers)
										 : _context.peers.targets(_now);
	const bool first = !hosts.empty() && hosts.front() == own;
	if (relaysChanges(_context, _collector) && first)
	{
		hosts = _context.relays.membersOf(dataCentre);
		const std::vector<std::string> others = _context.relays.allTopMembers();
		hosts.insert(hosts.end(), others.begin(), others.end());
	}
	std::sort(hosts.begin(), hosts.end());
	hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
	std::erase(hosts, own);
	return hosts;
}

} // namespace beacongate
