// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateway from which this one takes the store's content, so that few gateways of any fleet read
/// the store.

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
/// A gateway that the store lists: its address and where it runs.
struct MemberRecord
{
	std::string host;
	std::string dataCentre;
	unsigned cpuPercent = 0; ///< CPU share of its VM, in percent of a core; 0 if unknown.
	auto operator<=>(const MemberRecord&) const = default;
};

/// Ranks the members of the fleet: those with more CPU time first, then by host. In each data centre, all
/// members but the first take the content from a member of their data centre that ranks before them. The first
/// member reads the store itself in a small fleet. In a larger fleet it takes the content from the duty holder,
/// or from a top member of another data centre that ranks before it: the store then has one reader instead of
/// one for each data centre, and the content is older by one hop. Members with the same list compute the same
/// ranks; where their lists differ, the order alone prevents two members from requesting the content from each
/// other.
class RelayChoice
{
public:
	/// Orders by rank, the first rank first.
	struct ByRank
	{
		bool operator()(const MemberRecord& _left, const MemberRecord& _right) const
		{
			return _left.cpuPercent != _right.cpuPercent ? _left.cpuPercent > _right.cpuPercent
														 : _left.host < _right.host;
		}
	};

	/// Largest fleet in which the first member of each data centre reads the store itself.
	static constexpr std::size_t kSmallFleet = limits::kGossipPeers;
	/// A member that failed is not chosen for this long.
	static constexpr Micros kFailureCooldown = 5 * kSecond;
	/// A member whose content was old is not chosen for this long: it may be about to switch to another source
	/// itself.
	static constexpr Micros kStaleCooldown = 1 * kSecond;
	/// A member that was silent is not chosen until it has been heard for this long, in which it hears the
	/// others, once a second each. Without this span, a restarted first collector of a data centre was used
	/// from its first report on and let the teams of its data centre use again what they had used at all other
	/// gateways: 5% over a quota in 8 s, where 10% over is tolerated (87 gateways).
	static constexpr Micros kWarmUp = 3 * kSecond;
	/// Members of a data centre that other gateways may ask: the first one and a spare.
	static constexpr std::size_t kTopMembers = 2;

	explicit RelayChoice(MemberRecord _own) : m_own(std::move(_own))
	{
	}

	/// Replaces the known members.
	void setMembers(const std::set<MemberRecord>& _members);

	/// Sets the duty holder, which reads the store itself.
	void setDutyHolder(std::optional<std::string> _host)
	{
		m_dutyHolder = std::move(_host);
	}

	/// Notes that a member did not answer.
	void onFailed(const std::string& _host, Micros _now)
	{
		m_failed[_host] = _now;
	}

	/// Notes that a member answered with old content.
	void onStale(const std::string& _host, Micros _now)
	{
		m_failed[_host] = _now - kFailureCooldown + kStaleCooldown;
	}

	/// Notes that a member was not heard although it should have been: it is not chosen until it is heard.
	void onSilent(const std::string& _host)
	{
		m_silent[_host] = kNever;
	}

	/// Notes that a member was heard. A silent member stays excluded for kWarmUp from then on.
	void onHeard(const std::string& _host, Micros _now);

	/// @returns the host to take the content from; nothing if this gateway has to read the store itself.
	std::optional<std::string> relay(Micros _now) const;

	/// @returns the first members of a data centre that were not found silent, this gateway included.
	/// @param[in] _maxCount Largest number of members.
	std::vector<std::string> topMembers(const std::string& _dataCentre, std::size_t _maxCount) const;

	/// @returns the members among the first kTopMembers of a data centre that were found silent, to be probed.
	std::vector<std::string> silentTopMembers(const std::string& _dataCentre) const;

	/// @returns the first kTopMembers of each data centre, silent ones and this gateway included.
	std::vector<std::string> allTopMembers() const;

	/// @returns all members of a data centre, this gateway included if it is listed there.
	std::vector<std::string> membersOf(const std::string& _dataCentre) const;

	/// @returns the number of listed members.
	std::size_t memberCount() const;

	/// @returns the data centres that have members.
	std::vector<std::string> dataCentres() const;

	/// @returns the number of members of all data centres that rank before this one: its index among them. Where it
	/// is not listed, the index that it will have.
	std::size_t index() const;

	/// @returns the number of members that rank before this one, with the top members of all data centres
	/// first; nothing if this one is not listed.
	std::optional<std::size_t> position() const;

private:
	using Ranked = std::set<MemberRecord, ByRank>;

	bool isAvoided(const std::string& _host, Micros _now) const;

	MemberRecord m_own;
	std::map<std::string, Ranked> m_members; ///< By data centre.
	Ranked m_topMembers;                     ///< The first kTopMembers of each data centre.
	std::optional<std::string> m_dutyHolder;
	std::map<std::string, Micros> m_failed;
	std::map<std::string, Micros> m_silent; ///< When each was heard again; kNever while it was not.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RELAYCHOICE_H
