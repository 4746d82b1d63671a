// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/peertable.h"

namespace beacongate
{
void PeerTable::setSeeds(const std::vector<Address>& _seeds)
{
	m_seeds.clear();
	for (const Address& seed : _seeds)
	{
		if (seed.host != m_ownHost)
		{
			m_seeds.insert(seed.host);
		}
	}
}

void PeerTable::setRegistered(std::set<std::string> _hosts)
{
	m_registered = std::move(_hosts);
	m_registered.erase(m_ownHost);
}

bool PeerTable::onMessage(const GossipMessage& _message, Micros _now)
{
	if (_message.host == m_ownHost)
	{
		return false;
	}
	Peer& peer = m_peers[_message.host];
	if (_message.run.incarnation < peer.incarnation)
	{
		return false;
	}
	peer.name = _message.run.name;
	peer.incarnation = _message.run.incarnation;
	peer.uptime = _message.uptime;
	peer.newestSent = std::max(peer.newestSent, _message.sent);
	for (const std::string& host : _message.members)
	{
		if (host != m_ownHost)
		{
			m_reportedHosts[host] = _now;
		}
	}
	const bool fresh = _message.echo > 0 && _message.echo <= _now && _now - _message.echo <= kFreshSpan;
	if (!fresh)
	{
		return false;
	}
	peer.heard = _now;
	peer.leaving = _message.leaving;
	peer.configVersion = _message.configVersion;
	if (_message.configAge < kSecond * 3600)
	{
		// The peer sent this after it received the echoed stamp, so its report is at least that recent.
		peer.confirmed = std::max(peer.confirmed, _message.echo - _message.configAge);
	}
	return true;
}

std::vector<std::string> PeerTable::targets(Micros _now) const
{
	std::set<std::string> hosts = m_seeds;
	hosts.insert(m_registered.begin(), m_registered.end());
	for (const auto& [host, when] : m_reportedHosts)
	{
		if (_now - when <= kMemberTimeout)
		{
			hosts.insert(host);
		}
	}
	for (const auto& [host, peer] : m_peers)
	{
		if (_now - peer.heard <= kMemberTimeout || peer.heard == kLongAgo)
		{
			hosts.insert(host);
		}
	}
	return {hosts.begin(), hosts.end()};
}

std::vector<std::string> PeerTable::liveHosts(Micros _now) const
{
	std::vector<std::string> hosts;
	for (const auto& [host, peer] : m_peers)
	{
		if (_now - peer.heard <= kMemberTimeout)
		{
			hosts.push_back(host);
		}
	}
	return hosts;
}

Micros PeerTable::echoFor(const std::string& _host) const
{
	const auto it = m_peers.find(_host);
	return it == m_peers.end() ? 0 : it->second.newestSent;
}

bool PeerTable::startedWithin(const std::string& _host, Micros _span) const
{
	const auto it = m_peers.find(_host);
	return it != m_peers.end() && it->second.uptime < _span;
}

std::size_t PeerTable::memberCount(Micros _now) const
{
	std::set<std::string> hosts = m_registered;
	for (const std::string& host : liveHosts(_now))
	{
		hosts.insert(host);
	}
	return hosts.size() + 1;
}

std::optional<std::string> PeerTable::newestConfigHost(Micros _time, Micros _now) const
{
	std::optional<std::string> best;
	Micros newest = _time;
	for (const auto& [host, peer] : m_peers)
	{
		if (_now - peer.heard <= kFreshSpan && peer.confirmed > newest)
		{
			newest = peer.confirmed;
			best = host;
		}
	}
	return best;
}

} // namespace beacongate
