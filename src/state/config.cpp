// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "beacongate/config.h"

#include <algorithm>

namespace beacongate
{
const TeamConfig* Config::findTeamByToken(std::string_view _token) const
{
	const auto it =
		std::find_if(teams.begin(), teams.end(), [&](const TeamConfig& _team) { return _team.token == _token; });
	return teams.end() == it ? nullptr : &*it;
}

const ServiceConfig* Config::findService(std::string_view _name) const
{
	const auto it = std::find_if(services.begin(), services.end(),
								 [&](const ServiceConfig& _service) { return _service.name == _name; });
	return services.end() == it ? nullptr : &*it;
}

} // namespace beacongate
