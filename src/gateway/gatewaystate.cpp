// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gatewaystate.h"

#include "protocol/json.h"

namespace beacongate
{
namespace
{
Json describeBackends(const GatewayContext& context)
{
	Json list = Json::array();
	for (const auto& [id, known] : context.directory.backends())
	{
		list.push_back({{"id", id},
						{"service", known.record.service},
						{"dataCentre", known.record.dataCentre},
						{"usable", known.usable()},
						{"draining", known.record.draining},
						{"spot", known.record.spot},
						{"inFlight", context.balancer.totalInFlight(id)}});
	}
	return list;
}

Json describePeers(const GatewayContext& context, Micros now)
{
	Json list = Json::array();
	for (const auto& [host, peer] : context.peers.peers())
	{
		list.push_back({{"host", host},
						{"name", peer.name},
						{"incarnation", peer.incarnation},
						{"heardMsAgo", (now - peer.heard) / kMillisecond},
						{"configVersion", peer.configVersion}});
	}
	return list;
}
} // namespace

std::string describeState(const GatewayContext& context, std::size_t waiting, bool holdsDuties)
{
	const Micros now = monotonicNow();
	const auto& config = context.directory.config();
	const Json state{{"name", context.settings.name},
					 {"incarnation", context.run.incarnation},
					 {"configVersion", config ? config->version : 0},
					 {"configAgeMs", context.directory.age(now) / kMillisecond},
					 {"storeRevision", context.directory.revision()},
					 {"open", context.openExchanges},
					 {"waiting", waiting},
					 {"stopping", context.stopping},
					 {"holdsDuties", holdsDuties},
					 {"members", context.peers.memberCount(now)},
					 {"readingTokensPerSecond", context.engines.speeds()},
					 {"backends", describeBackends(context)},
					 {"peers", describePeers(context, now)}};
	return state.dump(2);
}

} // namespace beacongate
