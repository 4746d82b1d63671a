// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "beacongate/routing.h"

#include <algorithm>
#include <cctype>

namespace beacongate
{
namespace
{
std::string hostWithoutPort(std::string_view _host)
{
	const std::size_t colon = _host.rfind(':');
	std::string name(_host.substr(0, colon));
	std::transform(name.begin(), name.end(), name.begin(),
				   [](unsigned char _c) { return static_cast<char>(std::tolower(_c)); });
	return name;
}
} // namespace

void RoutingConfig::buildIndex()
{
	m_routesByHost.clear();
	m_teamByKey.clear();
	for (std::size_t index = 0; index < routes.size(); ++index)
	{
		routes[index].host = hostWithoutPort(routes[index].host);
		m_routesByHost[routes[index].host].push_back(index);
	}
	for (auto& [host, indices] : m_routesByHost)
	{
		std::stable_sort(indices.begin(), indices.end(),
						 [this](std::size_t _left, std::size_t _right)
						 { return routes[_left].pathPrefix.size() > routes[_right].pathPrefix.size(); });
	}
	for (std::size_t index = 0; index < teams.size(); ++index)
	{
		for (const std::string& key : teams[index].keys)
		{
			m_teamByKey.emplace(key, index);
		}
	}
}

const Route* RoutingConfig::findRoute(std::string_view _host, std::string_view _path) const
{
	const auto it = m_routesByHost.find(hostWithoutPort(_host));
	if (it == m_routesByHost.end())
	{
		return nullptr;
	}
	for (const std::size_t index : it->second)
	{
		if (_path.substr(0, routes[index].pathPrefix.size()) == routes[index].pathPrefix)
		{
			return &routes[index];
		}
	}
	return nullptr;
}

const TeamAccess* RoutingConfig::findTeamByKey(std::string_view _key) const
{
	const auto it = m_teamByKey.find(std::string(_key));
	return it == m_teamByKey.end() ? nullptr : &teams[it->second];
}

const PooledService* RoutingConfig::findService(std::string_view _name) const
{
	const auto it = std::find_if(services.begin(), services.end(),
								 [&](const PooledService& _service) { return _service.name == _name; });
	return it == services.end() ? nullptr : &*it;
}

} // namespace beacongate
