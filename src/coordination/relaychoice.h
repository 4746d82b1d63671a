// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Which gateway of a data centre reads the store for the others.

#ifndef BEACONGATE_COORDINATION_RELAYCHOICE_H
#define BEACONGATE_COORDINATION_RELAYCHOICE_H

#include "beacongate/types.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace beacongate
{
/// Where a gateway that the store lists is reached, and where it runs.
struct MemberRecord
{
	std::string host;
	std::string dataCentre;
	auto operator<=>(const MemberRecord&) const = default;
};

/// Takes the first listed member of the own data centre that answers. All that agree on the list agree on it; where
/// they do not, the order alone keeps two from asking each other.
class RelayChoice
{
public:
	/// A member that failed is passed over for this long.
	static constexpr Micros kAvoided = 5 * kSecond;

	explicit RelayChoice(MemberRecord _own) : m_own(std::move(_own))
	{
	}

	/// Replaces the members that are known.
	void setMembers(const std::set<MemberRecord>& _members)
	{
		m_hosts.clear();
		for (const MemberRecord& member : _members)
		{
			if (member.dataCentre == m_own.dataCentre)
			{
				m_hosts.insert(member.host);
			}
		}
		std::erase_if(m_failed, [this](const auto& _entry) { return !m_hosts.count(_entry.first); });
	}

	/// A member did not answer, or knew less than the store.
	void onFailed(const std::string& _host, Micros _now)
	{
		m_failed[_host] = _now;
	}

	/// @returns the host to ask; nothing where this gateway has to read the store itself.
	std::optional<std::string> relay(Micros _now) const
	{
		for (const std::string& host : m_hosts)
		{
			if (host >= m_own.host)
			{
				return std::nullopt;
			}
			const auto failed = m_failed.find(host);
			if (failed == m_failed.end() || _now - failed->second > kAvoided)
			{
				return host;
			}
		}
		return std::nullopt;
	}

private:
	MemberRecord m_own;
	std::set<std::string> m_hosts;
	std::map<std::string, Micros> m_failed;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RELAYCHOICE_H
