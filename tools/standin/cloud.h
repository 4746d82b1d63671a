// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-in for the platform's VM list, for tests only.

#ifndef BEACONGATE_TOOLS_STANDIN_CLOUD_H
#define BEACONGATE_TOOLS_STANDIN_CLOUD_H

#include "protocol/json.h"
#include "transport/httpserver.h"

namespace beacongate::standin
{
/// Serves a VM list over HTTP on an event loop.
/// @remarks GET /v1/vms returns {"vms": [{"id", "state": "live" | "leaving", "notice_ms"}]}.
/// POST /standin sets {"vms": the list, "lagMs": the delay in milliseconds before the list shows the change}.
class Cloud
{
public:
	explicit Cloud(IoLoop& _loop);

	/// Binds the listening socket. Must be called before the loop's init().
	void init(const Address& _address);
	std::uint16_t port() const;

private:
	void onRequest(ExchangeId _exchange, HttpRequest&& _request);

	IoLoop& m_loop;
	HttpServer m_server;
	Json m_vms = Json::array();
	Micros m_lag = 0;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_CLOUD_H
