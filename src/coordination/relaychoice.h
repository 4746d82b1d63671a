// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// From which gateway this one takes the store's content, so that the store is read by few gateways of any fleet.

#ifndef BEACONGATE_COORDINATION_RELAYCHOICE_H
#define BEACONGATE_COORDINATION_RELAYCHOICE_H

#include "beacongate/limits.h"
#include "beacongate/types.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace beacongate
{
/// Where a gateway that the store lists is reached, and where it runs.
struct MemberRecord
{
	std::string host;
	std::string dataCentre;
	unsigned cpuPercent = 0; ///< Of a core that its VM has; 0 where it does not say.
	auto operator<=>(const MemberRecord&) const = default;
};

/// Ranks the members: those with more processor time first, then by host. In each data centre all but the first
/// member take the content from one of their data centre that ranks before them. The first member reads the store
/// itself in a small fleet; in a larger one it takes the content from the holder of the duties, or from a first
/// member of another data centre that ranks before it: one reader in place of one for each data centre, which makes
/// the content older by a step. All that agree on the list agree on the rank; where they do not, the order alone
/// keeps two from asking each other.
class RelayChoice
{
public:
	/// Up to so many members, the first of each data centre reads the store itself.
	static constexpr std::size_t kSmallFleet = limits::kGossipPeers;
	/// A member that failed is passed over for this long.
	static constexpr Micros kFailureCooldown = 5 * kSecond;
	/// A member whose content was old is passed over for this long: it may be about to find another way itself.
	static constexpr Micros kStaleCooldown = 1 * kSecond;
	/// A member that was silent is passed over until it has been heard for this long, in which it hears the others,
	/// once a second each. Before, the first collector of a data centre was followed with its first word after a
	/// restart, and let the teams of its data centre have what all others had taken: 5% over a quota in 8 s that is
	/// tolerated 10% over (one day with 87 gateways).
	static constexpr Micros kWarmUp = 3 * kSecond;
	/// Members of a data centre that others of the fleet may ask: the first one and one in reserve.
	static constexpr std::size_t kTopMembers = 2;

	explicit RelayChoice(MemberRecord _own) : m_own(std::move(_own))
	{
	}

	/// Replaces the members that are known.
	void setMembers(const std::set<MemberRecord>& _members);

	/// Names the holder of the duties, who reads the store itself.
	void setDutyHolder(std::optional<std::string> _host)
	{
		m_holder = std::move(_host);
	}

	/// A member did not answer.
	void onFailed(const std::string& _host, Micros _now)
	{
		m_failed[_host] = _now;
	}

	/// A member answered, and its content was old.
	void onStale(const std::string& _host, Micros _now)
	{
		m_failed[_host] = _now - kFailureCooldown + kStaleCooldown;
	}

	/// A member was not heard though it should have been: it is passed over until it is heard.
	void onSilent(const std::string& _host)
	{
		m_silent[_host] = kNever;
	}

	/// A member was heard. One that was passed over is again for kWarmUp.
	void onHeard(const std::string& _host, Micros _now);

	/// @returns the host to ask; nothing where this gateway has to read the store itself.
	std::optional<std::string> relay(Micros _now) const;

	/// @returns the first members of a data centre that were not found silent, this gateway included.
	std::vector<std::string> topMembers(const std::string& _dataCentre, std::size_t _most) const;

	/// @returns which of the first kTopMembers members of a data centre were found silent, to see whether they are
	/// back.
	std::vector<std::string> silentTopMembers(const std::string& _dataCentre) const;

	/// @returns the first kTopMembers members of each data centre, silent ones and this gateway included.
	std::vector<std::string> allTopMembers() const;

	/// @returns all members that are listed.
	std::size_t memberCount() const;

	/// @returns data centres that have members.
	std::vector<std::string> dataCentres() const;

	/// @returns how many members rank before this one, heads of all data centres first; nothing where this one is
	/// not listed.
	std::optional<std::size_t> position() const;

private:
	/// Smaller ranks first.
	struct ByRank
	{
		bool operator()(const MemberRecord& _left, const MemberRecord& _right) const
		{
			return _left.cpuPercent != _right.cpuPercent ? _left.cpuPercent > _right.cpuPercent
														 : _left.host < _right.host;
		}
	};

	using Ranked = std::set<MemberRecord, ByRank>;

	bool avoided(const std::string& _host, Micros _now) const;

	MemberRecord m_own;
	std::map<std::string, Ranked> m_members; ///< By data centre.
	Ranked m_topMembers;                     ///< The first kTopMembers of each data centre.
	std::optional<std::string> m_holder;
	std::map<std::string, Micros> m_failed;
	std::map<std::string, Micros> m_silent; ///< Since when each has been heard again; kNever while it has not.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RELAYCHOICE_H
