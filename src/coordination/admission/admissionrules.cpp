// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/admission/admissionrules.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// The streaming routes of one service.
struct StreamingRoutes
{
	const Route* mostUrgent = nullptr;
	Micros smallestTarget = kNever;
};
} // namespace

void AdmissionRules::configure(const RoutingConfigPtr& _config)
{
	if (_config == m_config)
	{
		return;
	}
	m_config = _config;
	m_targets.clear();
	std::map<std::string, StreamingRoutes> services;
	for (const Route& route : _config->routes)
	{
		if (route.kind != RouteKind::Stream || route.targetLatency <= 0)
		{
			continue;
		}
		for (const WeightedService& part : route.split)
		{
			StreamingRoutes& routes = services[part.service];
			routes.smallestTarget = std::min(routes.smallestTarget, route.targetLatency);
			const bool moreUrgent = !routes.mostUrgent || route.priority < routes.mostUrgent->priority;
			routes.mostUrgent = moreUrgent ? &route : routes.mostUrgent;
		}
	}
	for (const auto& [name, routes] : services)
	{
		const PooledService* service = _config->findService(name);
		const Route& urgent = *routes.mostUrgent;
		if (service && service->engine && urgent.timeout < kMaxDeadlineFactor * urgent.targetLatency)
		{
			m_targets.emplace(name, routes.smallestTarget);
		}
	}
}

std::optional<Micros> AdmissionRules::targetOf(const std::string& _service) const
{
	const auto it = m_targets.find(_service);
	return it == m_targets.end() ? std::nullopt : std::optional(it->second);
}

} // namespace beacongate
