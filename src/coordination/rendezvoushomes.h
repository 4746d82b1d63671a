// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateways that remember where a stream began, or that grant the slots of a backend server.

#ifndef BEACONGATE_COORDINATION_RENDEZVOUSHOMES_H
#define BEACONGATE_COORDINATION_RENDEZVOUSHOMES_H

#include "coordination/relaychoice.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace beacongate
{
/// Ranks the members of the fleet for each key by rendezvous hashing, so that all gateways with the same list agree
/// without a message. Members of data centres that have none yet among those before them go first, since a
/// whole data centre can be lost.
class RendezvousHomes
{
public:
	/// Replaces the known members.
	void setMembers(const std::set<MemberRecord>& _members);

	/// @returns the first hosts in a key's ranking; fewer than `_count` if there are not as many members.
	std::vector<std::string> of(std::uint64_t _key, std::size_t _count) const;

private:
	struct Member
	{
		std::string host;
		std::string dataCentre;
		std::uint64_t hash = 0;
	};

	std::vector<Member> m_members;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RENDEZVOUSHOMES_H
