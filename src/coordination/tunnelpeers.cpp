// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/tunnelpeers.h"

#include <algorithm>

namespace beacongate
{
void TunnelPeers::draw(std::vector<std::string> _from, std::size_t _count, std::vector<std::string>& _chosen,
					   std::minstd_rand& _random) const
{
	std::shuffle(_from.begin(), _from.end(), _random);
	for (std::string& host : _from)
	{
		if (_chosen.size() >= _count)
		{
			return;
		}
		const bool chosen = std::find(_chosen.begin(), _chosen.end(), host) != _chosen.end();
		if (host != m_own.host && !m_unable.count(host) && !chosen)
		{
			_chosen.push_back(std::move(host));
		}
	}
}

std::vector<std::string> TunnelPeers::choose(const RelayChoice& _members, const std::vector<std::string>& _heard,
											 std::minstd_rand& _random, Micros _now)
{
	std::erase_if(m_unable, [_now](const auto& _entry) { return _now - _entry.second > kCooldown; });
	std::vector<std::string> chosen;
	draw(_members.membersOf(m_own.dataCentre), kMaxLocal, chosen, _random);
	std::vector<std::string> dataCentres = _members.dataCentres();
	std::erase(dataCentres, m_own.dataCentre);
	std::shuffle(dataCentres.begin(), dataCentres.end(), _random);
	for (const std::string& dataCentre : dataCentres)
	{
		// One of each other data centre first, so that the next one asked is outside a partition of a whole one.
		draw(_members.membersOf(dataCentre), std::min(chosen.size() + 1, kMaxAsked), chosen, _random);
	}
	draw(_heard, kMaxAsked, chosen, _random);
	return chosen;
}

} // namespace beacongate
