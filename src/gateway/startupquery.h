// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Asks other gateways, before this one takes requests, which limits backend servers named and which are brittle.

#ifndef BEACONGATE_GATEWAY_STARTUPQUERY_H
#define BEACONGATE_GATEWAY_STARTUPQUERY_H

#include "gateway/gatewaycontext.h"
#include "gateway/trafficcounters.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace beacongate
{
/// What a gateway that has just started asks, and what others answer. Gateways tell each other of limits and
/// brittle services as these are named; one that starts later would send requests freely until the servers told it
/// themselves. It asks a few gateways, whatever the size of the fleet.
class StartupQuery
{
public:
	using Send = std::function<void(DatagramPurpose _purpose, const std::string& _bytes, const std::string& _host)>;

	StartupQuery(GatewayContext& _context, Send _send);

	/// Begins to ask as soon as the other gateways are known.
	void init();

	/// Ends the timer.
	void shutdown();

	/// Notes that a gateway has told its limits.
	void onAnswered();

	/// Answers the question of another gateway.
	void answer(const std::string& _host);

private:
	/// Asks, or ends the wait for an answer.
	void ask();
	void settle(const char* _outcome);
	/// @returns a few gateways to ask, drawn at random.
	std::vector<std::string> otherGateways(Micros _now);

	GatewayContext& m_context;
	Send m_send;
	boost::asio::steady_timer m_timer;
	Micros m_began = kNever; ///< When the other gateways became known.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STARTUPQUERY_H
