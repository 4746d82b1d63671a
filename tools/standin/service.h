// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-in for a plain service that counts the executions of each call, for tests only.

#ifndef BEACONGATE_TOOLS_STANDIN_SERVICE_H
#define BEACONGATE_TOOLS_STANDIN_SERVICE_H

#include "transport/httpserver.h"

#include <map>
#include <string>

namespace beacongate::standin
{
/// Serves plain calls over HTTP on an event loop.
/// @remarks GET /executions returns the execution counts by Idempotency-Key. POST /standin sets
/// {"delayMs": delay before an answer in milliseconds, "cut": whether the connection is closed after the call has
/// run, without an answer, "refuse": whether calls are refused with 503 before they run}.
class Service
{
public:
	explicit Service(IoLoop& _loop);

	/// Binds the listening socket. Must be called before the loop's init().
	void init(const Address& _address);
	std::uint16_t port() const;

private:
	void onRequest(ExchangeId _exchange, HttpRequest&& _request);
	void execute(ExchangeId _exchange, const HttpRequest& _request);
	void control(const std::string& _body);

	IoLoop& m_loop;
	HttpServer m_server;
	std::map<std::string, std::uint64_t> m_executions;
	Micros m_delay = 0;
	bool m_cut = false;
	bool m_refuse = false;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_SERVICE_H
