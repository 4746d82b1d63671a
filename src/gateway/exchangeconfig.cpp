// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of Exchange that applies a configuration to a request.

#include "gateway/exchange.h"
#include "gateway/exchange_p.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Time from the check of a key until the request runs.
constexpr Micros kRevocationMargin = 300 * kMillisecond;
/// A configuration older than this does not prove that a route or a key is absent.
constexpr Micros kMaxConfigAge = 1500 * kMillisecond;
} // namespace

bool Exchange::applyConfig(const RoutingConfigPtr& _config)
{
	const Micros now = monotonicNow();
	const bool stale = m_context.directory.age(now) > kMaxConfigAge;
	const std::string_view path =
		std::string_view(m_request.head.target).substr(0, m_request.head.target.find('?'));
	const Route* route = _config->findRoute(m_info.host, path);
	if (!route)
	{
		refuse(stale ? Failure::StoreUnavailable : Failure::NoRoute,
			   "no route in version " + std::to_string(_config->version) + " of the configuration",
			   kStoreUnavailableRetryAfter);
		return false;
	}
	const TeamAccess* team = m_info.key.empty() ? nullptr : _config->findTeamByKey(m_info.key);
	m_config = _config;
	m_route = {_config, route};
	m_team = {_config, team};
	const bool keyNeeded = !m_config->teams.empty() && !m_route->allowAnonymous;
	const bool keyUnknown = !m_info.key.empty() && !m_team && !m_config->teams.empty();
	if (keyUnknown || (keyNeeded && !m_team))
	{
		const bool mayBeNewer = stale && keyUnknown;
		refuse(mayBeNewer ? Failure::StoreUnavailable : Failure::UnknownToken, "unknown API key",
			   kStoreUnavailableRetryAfter);
		return false;
	}
	if (keyMayBeRevoked(now))
	{
		refuse(Failure::KeyUnconfirmed, "the key cannot be confirmed", kStoreUnavailableRetryAfter);
		return false;
	}
	if (m_mayHaveRun && !m_route->repeatable())
	{
		refuse(Failure::BackendLost, "the request may have run, and its route does not allow a repeat any more");
		return false;
	}
	m_priority = m_team && m_team->priority ? *m_team->priority : m_route->priority;
	chooseService();
	return true;
}

bool Exchange::keyMayBeRevoked(Micros _now) const
{
	return m_team && m_context.settings.strictRevocation &&
		   m_context.directory.age(_now) > m_context.settings.revocationSpan - kRevocationMargin;
}

void Exchange::chooseService()
{
	const auto allowed = [this](const WeightedService& _part)
	{
		return _part.service == m_service;
	};
	if (std::any_of(m_route->split.begin(), m_route->split.end(), allowed))
	{
		return;
	}
	std::uint64_t total = 0;
	for (const WeightedService& part : m_route->split)
	{
		total += part.weight;
	}
	std::uint64_t drawn = total == 0 ? 0 : m_context.random() % total;
	m_service = m_route->split.front().service;
	for (const WeightedService& part : m_route->split)
	{
		if (drawn < part.weight)
		{
			m_service = part.service;
			return;
		}
		drawn -= part.weight;
	}
}

} // namespace beacongate
