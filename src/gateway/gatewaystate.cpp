// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/gatewaystate.h"

#include "coordination/storerevision.h"
#include "protocol/json.h"

namespace beacongate
{
namespace
{
Json describeBackends(const GatewayContext& _context, Micros _now)
{
	Json list = Json::array();
	for (const auto& [id, known] : _context.directory.backends())
	{
		const ServerSpeeds& speeds = _context.speeds;
		const bool speedKnown = speeds.isKnown(known.key);
		list.push_back({{"id", id},
						{"born", known.record.born},
						{"service", known.record.service},
						{"version", known.record.version},
						{"dataCentre", known.record.dataCentre},
						{"usable", known.usable()},
						{"draining", known.record.draining},
						{"backoffLeftMs", _context.backoffs.left(known.key, _now) / kMillisecond},
						{"spot", known.record.spot},
						{"inFlight", _context.balancer.totalInFlight(known.key)},
						{"lastingSlowdown", speedKnown ? Json(speeds.lasting(known.key)) : Json()},
						{"presentSlowdown", speedKnown ? Json(speeds.present(known.key, _now)) : Json()}});
	}
	return list;
}

Json describePeers(const GatewayContext& _context, Micros _now)
{
	Json list = Json::array();
	for (const auto& [host, peer] : _context.peers.peers())
	{
		list.push_back({{"host", host},
						{"name", peer.name},
						{"incarnation", peer.incarnation},
						{"heardMsAgo", (_now - peer.heard) / kMillisecond},
						{"configVersion", peer.configVersion}});
	}
	return list;
}

Json describeCrashes(const GatewayContext& _context, Micros _now)
{
	Json list = Json::array();
	for (const CrashRecord& record : _context.crashes.records(_now))
	{
		list.push_back({{"content", toString(record.request)},
						{"weight", _context.crashes.weightOf(record.request)},
						{"blocked", _context.crashes.suspicionOf(record.request) == Suspicion::Blocked},
						{"lastCrashMsAgo", record.age / kMillisecond}});
	}
	return list;
}

Json describeQuotas(const GatewayContext& _context, Micros _now)
{
	Json list = Json::array();
	for (const QuotaView& view : _context.quotas.views(_now))
	{
		list.push_back({{"team", view.team},
						{"level", view.level},
						{"takenHere", view.takenHere},
						{"takenByAllASecond", view.takenByAll}});
	}
	return list;
}
} // namespace

std::string describeState(const GatewayContext& _context, std::size_t _waiting, bool _holdsDuties)
{
	const Micros now = monotonicNow();
	const auto& config = _context.directory.config();
	const Json state{{"name", _context.settings.name},
					 {"incarnation", _context.run.incarnation},
					 {"configVersion", config ? config->version : 0},
					 {"configAgeMs", _context.directory.age(now) / kMillisecond},
					 {"storeEra", StoreRevision::eraOf(_context.directory.revision())},
					 {"storeRevision", StoreRevision::inStore(_context.directory.revision())},
					 {"open", _context.openExchanges.size()},
					 {"waiting", _waiting},
					 {"stopping", _context.stopping},
					 {"holdsDuties", _holdsDuties},
					 {"members", _context.peers.memberCount(now)},
					 {"readingTokensPerSecond", _context.engines.prefillSpeeds()},
					 {"gatewaysHeard", _context.quotas.liveness().gatewaysHeard(now)},
					 {"quotas", describeQuotas(_context, now)},
					 {"crashes", describeCrashes(_context, now)},
					 {"backends", describeBackends(_context, now)},
					 {"peers", describePeers(_context, now)}};
	return state.dump(2);
}

} // namespace beacongate
