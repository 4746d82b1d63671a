// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Names this gateway in the store as a relay for gateways that start.

#ifndef BEACONGATE_GATEWAY_RELAYSLOTWRITER_H
#define BEACONGATE_GATEWAY_RELAYSLOTWRITER_H

#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace beacongate
{
/// Keeps the relay slot of this gateway's rank up to date while the fleet is large, see RelaySlots.
class RelaySlotWriter : public std::enable_shared_from_this<RelaySlotWriter>
{
public:
	explicit RelaySlotWriter(GatewayContext& _context);

	/// Starts the periodic check.
	void init();

	/// Ends all calls. The slot keeps naming this gateway until another one takes over its rank.
	void shutdown();

private:
	void schedule();
	void check();
	/// @returns the key of the slot to write; nothing if the store names this gateway there, or if it has no slot.
	std::optional<std::string> staleSlot() const;
	void write(const std::string& _key);

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_channel;
	boost::asio::steady_timer m_timer;
	bool m_writing = false;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_RELAYSLOTWRITER_H
