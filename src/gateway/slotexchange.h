// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Exchanges messages about brittle backend servers with other gateways.

#ifndef BEACONGATE_GATEWAY_SLOTEXCHANGE_H
#define BEACONGATE_GATEWAY_SLOTEXCHANGE_H

#include "gateway/gatewaycontext.h"
#include "gateway/trafficcounters.h"

#include <functional>
#include <string>
#include <string_view>

namespace beacongate
{
/// Sends and receives what gateways tell each other of brittle services, and the questions, answers and reports
/// about their slots. Statements about services go the way of other changes (see changeTargets()); messages about
/// slots go to the few homes of a server. Neither grows with the fleet.
class SlotExchange
{
public:
	using Send = std::function<void(DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host)>;

	SlotExchange(GatewayContext& _context, Send _send);

	/// Connects the decisions with the network.
	void init();

	/// Ends the timer.
	void shutdown();

	/// Sends what is due. Must be called in each round of gossip.
	/// @param[in] _collector This gateway is a collector of its data centre.
	void tick(bool _collector, Micros _now);

	/// Processes a datagram for which isSlotDatagram() holds.
	/// @returns false if it is not readable.
	bool onSlotDatagram(std::string_view _bytes, const std::string& _sender);

	/// Processes a datagram for which isBrittleDatagram() holds.
	/// @returns false if it is not readable.
	bool onBrittleDatagram(std::string_view _bytes, const std::string& _sender);

private:
	void sendSlot(const SlotMessage& _message, const std::string& _host);
	void sendStatements(bool _collector, Micros _now);
	void reportUse(Micros _now);
	/// Answers queued requests every few milliseconds while there are any.
	void watchQueue();

	GatewayContext& m_context;
	Send m_send;
	boost::asio::steady_timer m_timer;
	bool m_watching = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_SLOTEXCHANGE_H
