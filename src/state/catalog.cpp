// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "state/catalog.h"

namespace beacongate
{
namespace
{
template <typename Rows, typename Items> void updateRows(Rows& _rows, const Items& _items)
{
	for (auto& row : _rows)
	{
		row.configured = false;
	}
	for (const auto& item : _items)
	{
		std::size_t idx = 0;
		while (idx < _rows.size() && _rows[idx].config.name != item.name)
		{
			++idx;
		}
		if (_rows.size() == idx)
		{
			_rows.emplace_back();
		}
		_rows[idx].config = item;
		_rows[idx].configured = true;
	}
}
template <typename Rows> std::uint32_t findByName(const Rows& _rows, std::string_view _name)
{
	for (std::uint32_t ii = 0; ii < _rows.size(); ++ii)
	{
		if (_rows[ii].configured && _rows[ii].config.name == _name)
		{
			return ii;
		}
	}
	return kInvalidHandle;
}
} // namespace

void Catalog::apply(const Config& _config)
{
	updateRows(m_teams, _config.teams);
	updateRows(m_services, _config.services);
}

TeamHandle Catalog::findTeamByToken(std::string_view _token) const
{
	for (std::uint32_t ii = 0; ii < m_teams.size(); ++ii)
	{
		if (m_teams[ii].configured && m_teams[ii].config.token == _token)
		{
			return TeamHandle{ii};
		}
	}
	return {};
}

TeamHandle Catalog::findTeam(std::string_view _name) const
{
	return TeamHandle{findByName(m_teams, _name)};
}

ServiceHandle Catalog::findService(std::string_view _name) const
{
	return ServiceHandle{findByName(m_services, _name)};
}

const TeamRow& Catalog::at(TeamHandle _team) const
{
	return m_teams.at(_team.idx);
}

const ServiceRow& Catalog::at(ServiceHandle _service) const
{
	return m_services.at(_service.idx);
}

std::size_t Catalog::teamCount() const
{
	return m_teams.size();
}

std::size_t Catalog::serviceCount() const
{
	return m_services.size();
}

} // namespace beacongate
