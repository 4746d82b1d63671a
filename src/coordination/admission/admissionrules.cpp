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
	unsigned priority = 0;      ///< Of the most urgent ones.
	bool deadlinesShort = true; ///< All of the most urgent ones give their callers little time.
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
			const auto [entry, added] = services.try_emplace(part.service);
			StreamingRoutes& routes = entry->second;
			routes.smallestTarget = std::min(routes.smallestTarget, route.targetLatency);
			const bool isShort = route.timeout < kMaxDeadlineFactor * route.targetLatency;
			if (added || route.priority < routes.priority)
			{
				routes.priority = route.priority;
				routes.deadlinesShort = isShort;
			}
			routes.deadlinesShort = routes.deadlinesShort && (isShort || route.priority > routes.priority);
		}
	}
	for (const auto& [name, routes] : services)
	{
		const PooledService* service = _config->findService(name);
		if (service && service->engine && routes.deadlinesShort)
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
