// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/retainedmembers.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
bool RetainedMembers::update(const std::set<MemberRecord>& _listed, Micros _now)
{
	std::set<std::string> hosts;
	for (const MemberRecord& member : _listed)
	{
		hosts.insert(member.host);
	}
	// A member that is listed with other values replaces what was known of it.
	std::erase_if(m_missingSince, [&](const auto& _entry)
				  { return hosts.count(_entry.first.host) != 0 && _listed.count(_entry.first) == 0; });
	for (auto& [member, since] : m_missingSince)
	{
		since = std::min(since, _now);
	}
	for (const MemberRecord& member : _listed)
	{
		m_missingSince[member] = kNever;
	}
	std::erase_if(m_missingSince, [_now](const auto& _entry) { return _now - _entry.second > kRetention; });
	return rebuild();
}

bool RetainedMembers::expire(Micros _now)
{
	std::erase_if(m_missingSince, [_now](const auto& _entry) { return _now - _entry.second > kRetention; });
	return rebuild();
}

bool RetainedMembers::rebuild()
{
	std::set<MemberRecord> members;
	for (const auto& [member, since] : m_missingSince)
	{
		members.insert(member);
	}
	return std::exchange(m_members, members) != members;
}

std::size_t RetainedMembers::count() const
{
	const bool listed = std::any_of(m_members.begin(), m_members.end(),
									[this](const MemberRecord& _member) { return _member.host == m_own.host; });
	return m_members.size() + (listed ? 0 : 1);
}

std::size_t RetainedMembers::index() const
{
	return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(),
												  [this](const MemberRecord& _member) {
													  return _member.host != m_own.host &&
															 RelayChoice::ByRank()(_member, m_own);
												  }));
}

} // namespace beacongate
