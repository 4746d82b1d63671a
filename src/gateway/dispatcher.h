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
/// Holds requests for which no backend server has room, ordered by priority and arrival.
class Dispatcher
{
public:
	explicit Dispatcher(GatewayContext& _context);

	/// Queues a request until a backend server has room for it.
	void enqueue(ExchangePtr _exchange);

	/// Removes a request from the queue.
	void remove(const Exchange* _exchange);

	/// Schedules one attempt to dispatch the queued requests; several calls are merged.
	void wake();

	/// @returns the number of queued requests before a request; all of them if it is not queued.
	std::size_t waitingBefore(const Exchange* _exchange) const;

	/// @returns the number of queued requests.
	std::size_t waiting() const
	{
		return m_waiting.size();
	}

private:
	void dispatchAll();

	GatewayContext& m_context;
	std::vector<ExchangePtr> m_waiting;
	boost::asio::steady_timer m_timer;
	bool m_wakePending = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_DISPATCHER_H
