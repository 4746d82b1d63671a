// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/relaychoice.h"

#include <algorithm>
#include <iterator>

namespace beacongate
{
void RelayChoice::setMembers(const std::set<MemberRecord>& _members)
{
	m_members.clear();
	m_topMembers.clear();
	std::set<std::string> hosts;
	for (const MemberRecord& member : _members)
	{
		hosts.insert(member.host);
		m_members[member.dataCentre].insert(member);
		if (member.host == m_own.host)
		{
			m_own.cpuPercent = member.cpuPercent;
		}
	}
	for (const auto& [dataCentre, ranked] : m_members)
	{
		const auto last =
			std::next(ranked.begin(), static_cast<std::ptrdiff_t>(std::min(kTopMembers, ranked.size())));
		m_topMembers.insert(ranked.begin(), last);
	}
	std::erase_if(m_failed, [&hosts](const auto& _entry) { return !hosts.count(_entry.first); });
	std::erase_if(m_silent, [&hosts](const auto& _entry) { return !hosts.count(_entry.first); });
}

void RelayChoice::onHeard(const std::string& _host, Micros _now)
{
	const auto silent = m_silent.find(_host);
	if (silent == m_silent.end())
	{
		return;
	}
	silent->second = std::min(silent->second, _now);
	if (_now - silent->second >= kWarmUp)
	{
		m_silent.erase(silent);
	}
}

std::vector<std::string> RelayChoice::allTopMembers() const
{
	std::vector<std::string> hosts;
	for (const MemberRecord& member : m_topMembers)
	{
		hosts.push_back(member.host);
	}
	return hosts;
}

std::vector<std::string> RelayChoice::membersOf(const std::string& _dataCentre) const
{
	std::vector<std::string> hosts;
	const auto ranked = m_members.find(_dataCentre);
	if (ranked == m_members.end())
	{
		return hosts;
	}
	for (const MemberRecord& member : ranked->second)
	{
		hosts.push_back(member.host);
	}
	return hosts;
}

std::size_t RelayChoice::memberCount() const
{
	std::size_t count = 0;
	for (const auto& [name, ranked] : m_members)
	{
		count += ranked.size();
	}
	return count;
}

bool RelayChoice::isAvoided(const std::string& _host, Micros _now) const
{
	const auto failed = m_failed.find(_host);
	const bool failedRecently = failed != m_failed.end() && _now - failed->second <= kFailureCooldown;
	return failedRecently || m_silent.count(_host) != 0;
}

std::optional<std::string> RelayChoice::relay(Micros _now) const
{
	const auto own = m_members.find(m_own.dataCentre);
	if (own == m_members.end())
	{
		return std::nullopt;
	}
	const auto firstBefore = [&](const Ranked& _ranked) -> std::optional<std::string>
	{
		for (const MemberRecord& member : _ranked)
		{
			if (!ByRank()(member, m_own))
			{
				return std::nullopt;
			}
			if (!isAvoided(member.host, _now))
			{
				return member.host;
			}
		}
		return std::nullopt;
	};
	if (auto localRelay = firstBefore(own->second))
	{
		return localRelay;
	}
	if (memberCount() <= kSmallFleet)
	{
		return std::nullopt;
	}
	if (m_dutyHolder && *m_dutyHolder != m_own.host && !isAvoided(*m_dutyHolder, _now))
	{
		return m_dutyHolder;
	}
	return firstBefore(m_topMembers);
}

std::vector<std::string> RelayChoice::topMembers(const std::string& _dataCentre, std::size_t _maxCount) const
{
	std::vector<std::string> hosts;
	const auto ranked = m_members.find(_dataCentre);
	if (ranked == m_members.end())
	{
		return hosts;
	}
	for (const MemberRecord& member : ranked->second)
	{
		if (hosts.size() == _maxCount)
		{
			break;
		}
		if (member.host == m_own.host || !m_silent.count(member.host))
		{
			hosts.push_back(member.host);
		}
	}
	return hosts;
}

std::vector<std::string> RelayChoice::silentTopMembers(const std::string& _dataCentre) const
{
	std::vector<std::string> hosts;
	const auto ranked = m_members.find(_dataCentre);
	if (ranked == m_members.end())
	{
		return hosts;
	}
	std::size_t rank = 0;
	for (const MemberRecord& member : ranked->second)
	{
		if (rank++ == kTopMembers)
		{
			break;
		}
		if (member.host != m_own.host && m_silent.count(member.host))
		{
			hosts.push_back(member.host);
		}
	}
	return hosts;
}

std::vector<std::string> RelayChoice::dataCentres() const
{
	std::vector<std::string> names;
	for (const auto& [name, ranked] : m_members)
	{
		names.push_back(name);
	}
	return names;
}

std::size_t RelayChoice::index() const
{
	std::size_t index = 0;
	for (const auto& [name, ranked] : m_members)
	{
		index += static_cast<std::size_t>(std::count_if(ranked.begin(), ranked.end(),
														[this](const MemberRecord& _member)
														{ return ByRank()(_member, m_own); }));
	}
	return index;
}

std::optional<std::size_t> RelayChoice::position() const
{
	const auto own = m_members.find(m_own.dataCentre);
	if (own == m_members.end() || !own->second.count(m_own))
	{
		return std::nullopt;
	}
	const auto head = m_topMembers.find(m_own);
	if (head != m_topMembers.end())
	{
		return static_cast<std::size_t>(std::distance(m_topMembers.begin(), head));
	}
	std::size_t position = m_topMembers.size();
	for (const auto& [name, ranked] : m_members)
	{
		position += static_cast<std::size_t>(std::count_if(ranked.begin(), ranked.end(),
														   [this](const MemberRecord& _member)
														   { return ByRank()(_member, m_own); }));
	}
	return position;
}

} // namespace beacongate
