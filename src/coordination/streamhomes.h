// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateways that remember where a stream began.

#ifndef BEACONGATE_COORDINATION_STREAMHOMES_H
#define BEACONGATE_COORDINATION_STREAMHOMES_H

#include "coordination/relaychoice.h"
#include "coordination/streamorigin.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace beacongate
{
/// Ranks the members of the fleet for each stream by rendezvous hashing, so that all gateways with the same list
/// agree without a message. Members of data centres that have none yet among those before them go first, since a
/// whole data centre can be lost.
class StreamHomes
{
public:
	/// Replaces the known members.
	void setMembers(const std::set<MemberRecord>& _members);

	/// @returns the first hosts in a stream's ranking; fewer than `_count` if there are not as many members.
	std::vector<std::string> of(StreamKey _stream, std::size_t _count) const;

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

#endif // BEACONGATE_COORDINATION_STREAMHOMES_H
