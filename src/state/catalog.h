// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Table of teams and services. Their handles stay valid across configuration changes.

#ifndef BEACONGATE_STATE_CATALOG_H
#define BEACONGATE_STATE_CATALOG_H

#include "beacongate/config.h"

#include <string_view>
#include <vector>

namespace beacongate
{
/// A team, and whether the configuration in force contains it.
struct TeamRow
{
	TeamConfig config;
	bool configured = false;
};

/// A service, and whether the configuration in force contains it.
struct ServiceRow
{
	ServiceConfig config;
	bool configured = false;
};

/// Table of teams and services by name. Rows are never removed: queued requests of a team that was
/// removed from the configuration are still processed with its last settings.
class Catalog
{
public:
	/// Updates the rows to a configuration.
	void apply(const Config& _config);

	/// @returns the configured team with that bearer token, or an invalid handle.
	TeamHandle findTeamByToken(std::string_view _token) const;

	/// @returns the configured team of that name, or an invalid handle.
	TeamHandle findTeam(std::string_view _name) const;

	/// @returns the configured service of that name, or an invalid handle.
	ServiceHandle findService(std::string_view _name) const;

	/// @returns the row; the handle has to be valid.
	const TeamRow& at(TeamHandle _team) const;
	const ServiceRow& at(ServiceHandle _service) const;

	/// @returns the number of rows, configured or not.
	std::size_t teamCount() const;
	std::size_t serviceCount() const;

private:
	std::vector<TeamRow> m_teams;
	std::vector<ServiceRow> m_services;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_CATALOG_H
