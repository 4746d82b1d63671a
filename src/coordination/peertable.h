// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Table of the other gateways, with the configuration version that each of them reported.

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
/// State of one peer gateway.
struct Peer
{
	std::string name;
	std::uint64_t incarnation = 0;
	Micros heard = kLongAgo; ///< Arrival of the last message that was proved to be recent.
	Micros newestSent = 0;   ///< Largest `sent` of the peer's messages; echoed to it.
	Micros confirmed =
		kLongAgo; ///< Time at which the peer's configuration was confirmed as the newest, on this clock.
	std::uint64_t configVersion = 0;
	bool leaving = false;
	Micros uptime = kNever; ///< As last reported.
};

/// Table of peers, by host.
class PeerTable
{
public:
	/// A message is proved to be recent if it echoes a stamp that was sent within this span.
	static constexpr Micros kFreshSpan = 1 * kSecond;
	/// A peer from which nothing was heard for longer is not counted as a member.
	static constexpr Micros kMemberTimeout = 12 * kSecond;

	/// @param[in] ownHost Host of this gateway; it is never treated as a peer.
	explicit PeerTable(std::string _ownHost) : m_ownHost(std::move(_ownHost))
	{
	}

	/// Sets the hosts that are always sent to.
	void setSeeds(const std::vector<Address>& _seeds);

	/// Sets the hosts that the store lists.
	void setRegistered(std::set<std::string> _hosts);

	/// Processes a message of a peer.
	/// @returns true if it is proved to be recent.
	bool onMessage(const GossipMessage& _message, Micros _now);

	/// @returns the hosts to send to.
	std::vector<std::string> targets(Micros _now) const;

	/// @returns the hosts heard from within kMemberTimeout.
	std::vector<std::string> liveHosts(Micros _now) const;

	/// @returns the stamp to echo to a host, 0 if there is none.
	Micros echoFor(const std::string& _host) const;

	/// @returns true if a host reported an uptime below the span.
	bool startedWithin(const std::string& _host, Micros _span) const;

	/// @returns the number of gateways registered or heard from, including this one.
	std::size_t memberCount(Micros _now) const;

	/// @returns the host whose configuration was confirmed last, if that was after the given time.
	std::optional<std::string> newestConfigHost(Micros _time, Micros _now) const;

	/// @returns all peers by host.
	const std::map<std::string, Peer>& peers() const
	{
		return m_peers;
	}

private:
	std::string m_ownHost;
	std::set<std::string> m_seeds;
	std::set<std::string> m_registered;
	std::map<std::string, Micros> m_reportedHosts;
	std::map<std::string, Peer> m_peers;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_PEERTABLE_H
