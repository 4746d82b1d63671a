// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/retainedmembers.h"

#include <algorithm>

namespace beacongate
{
bool RetainedMembers::update(const std::set<MemberRecord>& _listed, Micros _now)
{
	for (auto& [host, known] : m_known)
	{
		known.missingSince = std::min(known.missingSince, _now);
	}
	bool changed = false;
	for (const MemberRecord& member : _listed)
	{
		const auto [entry, isNew] = m_known.try_emplace(member.host);
		changed = changed || isNew || entry->second.record != member;
		entry->second = {member, kNever};
	}
	return removeMissing(_now) || changed ? rebuild() : false;
}

bool RetainedMembers::expire(Micros _now)
{
	return removeMissing(_now) ? rebuild() : false;
}

bool RetainedMembers::removeMissing(Micros _now)
{
	return std::erase_if(m_known,
						 [_now](const auto& _entry) { return _now - _entry.second.missingSince > kRetention; }) > 0;
}

bool RetainedMembers::rebuild()
{
	m_members.clear();
	for (const auto& [host, known] : m_known)
	{
		m_members.insert(m_members.end(), known.record);
	}
	return true;
}

std::size_t RetainedMembers::count() const
{
	return m_known.size() + (m_known.count(m_own.host) != 0 ? 0 : 1);
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
