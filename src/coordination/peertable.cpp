// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/peertable.h"

namespace beacongate
{
void PeerTable::setSeeds(const std::vector<Address>& seeds)
{
	m_seeds.clear();
	for (const Address& seed : seeds)
	{
		if (seed.host != m_ownHost)
		{
			m_seeds.insert(seed.host);
		}
	}
}

void PeerTable::setRegistered(std::set<std::string> hosts)
{
	m_registered = std::move(hosts);
	m_registered.erase(m_ownHost);
}

bool PeerTable::onMessage(const GossipMessage& message, Micros now)
{
	if (message.host == m_ownHost)
	{
		return false;
	}
	Peer& peer = m_peers[message.host];
	if (message.run.incarnation < peer.incarnation)
	{
		return false;
	}
	peer.name = message.run.name;
	peer.incarnation = message.run.incarnation;
	peer.newestStamp = std::max(peer.newestStamp, message.sent);
	for (const std::string& host : message.members)
	{
		if (host != m_ownHost)
		{
			m_mentioned[host] = now;
		}
	}
	const bool fresh = message.echo > 0 && message.echo <= now && now - message.echo <= kFresh;
	if (!fresh)
	{
		return false;
	}
	peer.heard = now;
	peer.leaving = message.leaving;
	peer.configVersion = message.configVersion;
	if (message.configAge < kSecond * 3600)
	{
		// The peer spoke after it had heard the echoed stamp, so its word is at least as new as that.
		peer.confirmed = std::max(peer.confirmed, message.echo - message.configAge);
	}
	return true;
}

std::vector<std::string> PeerTable::targets(Micros now) const
{
	std::set<std::string> hosts = m_seeds;
	hosts.insert(m_registered.begin(), m_registered.end());
	for (const auto& [host, when] : m_mentioned)
	{
		if (now - when <= kMemory)
		{
			hosts.insert(host);
		}
	}
	for (const auto& [host, peer] : m_peers)
	{
		if (now - peer.heard <= kMemory || peer.heard == kLongAgo)
		{
			hosts.insert(host);
		}
	}
	return {hosts.begin(), hosts.end()};
}

std::vector<std::string> PeerTable::heardHosts(Micros now) const
{
	std::vector<std::string> hosts;
	for (const auto& [host, peer] : m_peers)
	{
		if (now - peer.heard <= kMemory)
		{
			hosts.push_back(host);
		}
	}
	return hosts;
}

Micros PeerTable::echoFor(const std::string& host) const
{
	const auto it = m_peers.find(host);
	return it == m_peers.end() ? 0 : it->second.newestStamp;
}

std::size_t PeerTable::memberCount(Micros now) const
{
	std::set<std::string> hosts = m_registered;
	for (const std::string& host : heardHosts(now))
	{
		hosts.insert(host);
	}
	return hosts.size() + 1;
}

std::optional<std::string> PeerTable::freshestAfter(Micros moment, Micros now) const
{
	std::optional<std::string> best;
	Micros newest = moment;
	for (const auto& [host, peer] : m_peers)
	{
		if (now - peer.heard <= kFresh && peer.confirmed > newest)
		{
			newest = peer.confirmed;
			best = host;
		}
	}
	return best;
}

} // namespace beacongate
