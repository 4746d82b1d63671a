// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-in of a plain service that counts how often each call ran. Tests only.

#ifndef BEACONGATE_TOOLS_STANDIN_SERVICE_H
#define BEACONGATE_TOOLS_STANDIN_SERVICE_H

#include "transport/httpserver.h"

#include <map>
#include <string>

namespace beacongate::standin
{
/// One service on one loop.
/// @remarks GET /executions gives the counts by Idempotency-Key; POST /standin sets
/// {"delayMs": span before an answer, "cut": whether calls run and then lose their answer,
/// "refuse": whether calls are not taken}.
class Service
{
public:
	explicit Service(IoLoop& _loop);

	/// Binds; to be called before the loop's init().
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
