// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The queue of requests that wait for room at a backend server.

#ifndef BEACONGATE_GATEWAY_DISPATCHER_H
#define BEACONGATE_GATEWAY_DISPATCHER_H

#include "gateway/exchange.h"

#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <vector>

namespace beacongate
{
/// Holds requests for which no backend server has room, the most urgent first.
class Dispatcher
{
public:
	explicit Dispatcher(GatewayContext& _context);

	/// Keeps a request until room is found.
	void enqueue(ExchangePtr _exchange);

	/// Forgets a request.
	void remove(const Exchange* _exchange);

	/// Tries the requests that wait; done soon, once for many calls.
	void wake();

	/// @returns requests that wait.
	std::size_t waiting() const
	{
		return m_waiting.size();
	}

private:
	void tryAll();

	GatewayContext& m_context;
	std::vector<ExchangePtr> m_waiting;
	boost::asio::steady_timer m_timer;
	bool m_wakePending = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_DISPATCHER_H
