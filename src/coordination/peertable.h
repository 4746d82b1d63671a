// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The gateways that this one knows of, and what each of them believes of the store.

#ifndef BEACONGATE_COORDINATION_PEERTABLE_H
#define BEACONGATE_COORDINATION_PEERTABLE_H

#include "coordination/gossip.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace beacongate
{
/// A peer by its host.
struct Peer
{
	std::string name;
	std::uint64_t incarnation = 0;
	Micros heard = kLongAgo;     ///< When a message came that was certainly new.
	Micros newestStamp = 0;      ///< The newest `sent` of the peer, to be echoed.
	Micros confirmed = kLongAgo; ///< When the peer's configuration was certainly the newest, on this clock.
	std::uint64_t configVersion = 0;
	bool leaving = false;
	Micros uptime = kNever; ///< As it last said.
};

/// Keeps peers.
class PeerTable
{
public:
	/// A message is new for sure if it echoes something that was sent within this span.
	static constexpr Micros kFresh = 1 * kSecond;
	/// A peer that nobody has heard for longer is not counted as a member.
	static constexpr Micros kMemberTimeout = 12 * kSecond;

	/// @param[in] ownHost Never taken for a peer.
	explicit PeerTable(std::string _ownHost) : m_ownHost(std::move(_ownHost))
	{
	}

	/// Hosts that are always tried.
	void setSeeds(const std::vector<Address>& _seeds);

	/// Hosts that the store lists.
	void setRegistered(std::set<std::string> _hosts);

	/// Takes in a message.
	/// @returns whether it is new for sure.
	bool onMessage(const GossipMessage& _message, Micros _now);

	/// @returns hosts to send to.
	std::vector<std::string> targets(Micros _now) const;

	/// @returns hosts that were heard of late.
	std::vector<std::string> liveHosts(Micros _now) const;

	/// @returns what is to be echoed to a host.
	Micros echoFor(const std::string& _host) const;

	/// @returns whether a host says that it has started within a span.
	bool startedWithin(const std::string& _host, Micros _span) const;

	/// @returns the gateways there may be, this one included.
	std::size_t memberCount(Micros _now) const;

	/// @returns the host whose configuration was confirmed last, if that is later than a moment.
	std::optional<std::string> newestConfigHost(Micros _moment, Micros _now) const;

	/// @returns all peers by host.
	const std::map<std::string, Peer>& peers() const
	{
		return m_peers;
	}

private:
	std::string m_ownHost;
	std::set<std::string> m_seeds;
	std::set<std::string> m_registered;
	std::map<std::string, Micros> m_mentioned;
	std::map<std::string, Peer> m_peers;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_PEERTABLE_H
