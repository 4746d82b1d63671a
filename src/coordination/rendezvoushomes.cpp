// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/rendezvoushomes.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace beacongate
{
void RendezvousHomes::setMembers(const std::set<MemberRecord>& _members)
{
	m_members.clear();
	for (const MemberRecord& member : _members)
	{
		m_members.push_back({member.host, member.dataCentre, XXH3_64bits(member.host.data(), member.host.size())});
	}
}

std::vector<std::string> RendezvousHomes::of(std::uint64_t _key, std::size_t _count) const
{
	std::vector<std::pair<std::uint64_t, const Member*>> ranking;
	ranking.reserve(m_members.size());
	for (const Member& member : m_members)
	{
		ranking.emplace_back(XXH3_64bits_withSeed(&_key, sizeof _key, member.hash), &member);
	}
	std::sort(ranking.begin(), ranking.end());
	std::vector<std::string> homes;
	std::set<std::string> used;
	for (const bool onlyUnusedDataCentres : {true, false})
	{
		for (const auto& [rank, member] : ranking)
		{
			const bool taken = std::find(homes.begin(), homes.end(), member->host) != homes.end();
			if (homes.size() == _count || taken || (onlyUnusedDataCentres && used.count(member->dataCentre) != 0))
			{
				continue;
			}
			homes.push_back(member->host);
			used.insert(member->dataCentre);
		}
	}
	return homes;
}

} // namespace beacongate
