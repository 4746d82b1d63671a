// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Records in the store at which software versions streams began, and takes over what others recorded.

#ifndef BEACONGATE_GATEWAY_ORIGINLOGWRITER_H
#define BEACONGATE_GATEWAY_ORIGINLOGWRITER_H

#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace beacongate
{
/// While a service has several versions, each gateway keeps a list in the store of the streams that began there, so
/// that they can be taken up after all gateways were lost. The list follows the streams at an interval: what began
/// since the last write is lost with its gateways, and is refused then. The list ends with the lease of the
/// gateway's registration.
class OriginLogWriter : public std::enable_shared_from_this<OriginLogWriter>
{
public:
	explicit OriginLogWriter(GatewayContext& _context);

	/// Starts the periodic work.
	void init();

	/// Ends all calls.
	void shutdown();

	/// Takes over the lists that have changed in the store.
	void onContent();

private:
	/// What a list was written for.
	struct State
	{
		std::uint64_t lease = 0; ///< Lease that it was written under.
		std::uint64_t begun = 0; ///< Streams that had begun here.
		bool several = false;    ///< A service had several versions.

		bool operator==(const State&) const = default;
	};

	void schedule();
	void writeIfNeeded();
	void write(const std::vector<StreamOriginRecord>& _records, const State& _state);

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_channel;
	boost::asio::steady_timer m_timer;
	std::map<std::string, std::uint64_t> m_adopted; ///< Revisions of the lists that were taken over, by key.
	State m_writtenState;                           ///< At the last write.
	Micros m_checkedAt = kLongAgo;                  ///< When the streams were last looked through.
	bool m_written = false;                         ///< The store holds a list.
	bool m_writing = false;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_ORIGINLOGWRITER_H
