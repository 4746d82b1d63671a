// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The members of the fleet among which the homes of backend servers are chosen.

#ifndef BEACONGATE_COORDINATION_RETAINEDMEMBERS_H
#define BEACONGATE_COORDINATION_RETAINEDMEMBERS_H

#include "coordination/relaychoice.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace beacongate
{
/// Members that the store lists, and those that it listed until a while ago.
///
/// A gateway whose lease ran out, or that starts again, is missing from the list for a while. Homes and turns that
/// followed the list at once would move at all gateways, at each at another time, and after an outage in which all
/// leases ran out each gateway would take itself for the whole fleet. A home that does not run any more is passed
/// over as soon as it does not answer.
class RetainedMembers
{
public:
	/// Time for which a member is kept after the store listed it last. A gateway whose lease ran out is listed
	/// again once it reads that it is missing, or else after its next renewal, 19 s later at most.
	static constexpr Micros kRetention = 22 * kSecond;

	explicit RetainedMembers(MemberRecord _own) : m_own(std::move(_own))
	{
	}

	/// Notes the members that the store lists.
	/// @returns true if the members have changed.
	bool update(const std::set<MemberRecord>& _listed, Micros _now);

	/// Removes members that have been missing for too long. Must be called about once a second.
	/// @returns true if the members have changed.
	bool expire(Micros _now);

	/// @returns the members; this gateway only if the store has listed it.
	const std::set<MemberRecord>& members() const
	{
		return m_members;
	}

	/// @returns the number of members, this gateway included.
	std::size_t count() const;

	/// @returns the number of members that rank before this gateway: its index among them.
	std::size_t index() const;

private:
	struct Known
	{
		MemberRecord record;
		Micros missingSince = kNever; ///< kNever while the store lists the member.
	};

	bool removeMissing(Micros _now);
	bool rebuild();

	MemberRecord m_own;
	std::map<std::string, Known> m_known; ///< By host.
	std::set<MemberRecord> m_members;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RETAINEDMEMBERS_H
