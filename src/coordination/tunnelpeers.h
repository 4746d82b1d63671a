// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateways that are asked for a tunnel to a backend server.

#ifndef BEACONGATE_COORDINATION_TUNNELPEERS_H
#define BEACONGATE_COORDINATION_TUNNELPEERS_H

#include "coordination/relaychoice.h"

#include <cstddef>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace beacongate
{
/// Gateways that could not open a tunnel recently, and the choice among the others.
class TunnelPeers
{
public:
	/// Largest number of gateways that are asked for one connection.
	static constexpr std::size_t kMaxAsked = 4;
	/// Largest number of gateways of the own data centre among them: a partition often affects all gateways of a
	/// data centre.
	static constexpr std::size_t kMaxLocal = 2;
	/// A gateway that could not open a tunnel is not asked for this long.
	static constexpr Micros kCooldown = 2 * kSecond;

	explicit TunnelPeers(MemberRecord _own) : m_own(std::move(_own))
	{
	}

	/// Notes that a gateway could not open a tunnel: it did not answer, is isolated itself, or is stopping.
	void onUnable(const std::string& _host, Micros _now)
	{
		m_unable[_host] = _now;
	}

	/// @returns the gateways to ask, in this order: drawn at random, those of the own data centre first.
	/// @param[in] _heard Gateways that were heard from, for a fleet whose members are not known yet.
	std::vector<std::string> choose(const RelayChoice& _members, const std::vector<std::string>& _heard,
									std::minstd_rand& _random, Micros _now);

private:
	/// Moves hosts that may be asked, in random order, until there are as many as given.
	void draw(std::vector<std::string> _from, std::size_t _count, std::vector<std::string>& _chosen,
			  std::minstd_rand& _random) const;

	MemberRecord m_own;
	std::map<std::string, Micros> m_unable;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_TUNNELPEERS_H
