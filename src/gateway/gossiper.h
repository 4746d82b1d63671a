// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Sends this gateway's state to its peers in datagrams, and takes in theirs.

#ifndef BEACONGATE_GATEWAY_GOSSIPER_H
#define BEACONGATE_GATEWAY_GOSSIPER_H

#include "gateway/gatewaycontext.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// Talks to peers.
class Gossiper
{
public:
	/// @throws Error SettingInvalid where the port cannot be bound.
	explicit Gossiper(GatewayContext& _context);

	/// Begins to send and receive.
	void init();

	/// Stops.
	void shutdown();

private:
	void tick();
	void reportDelay(Micros _now);
	void logLeavingNotices();
	void sendRound(Micros _now);
	std::optional<std::string> holderHost() const;
	void receive();
	void readDatagrams();
	void onDatagram(std::string_view _bytes);
	GossipMessage describe(Micros _now) const;

	GatewayContext& m_context;
	boost::asio::ip::udp::socket m_socket;
	boost::asio::steady_timer m_timer;
	std::vector<char> m_buffer;
	std::size_t m_round = 0;
	Micros m_due = kNever; ///< When the next round should begin.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_GOSSIPER_H
