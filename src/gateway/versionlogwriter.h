// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the log of software versions in the store, and takes over what it says.

#ifndef BEACONGATE_GATEWAY_VERSIONLOGWRITER_H
#define BEACONGATE_GATEWAY_VERSIONLOGWRITER_H

#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace beacongate
{
/// The log outlives all gateways, so that those that start anew know which versions have left. The duty holder
/// writes it as versions appear and leave. Where a version stays missing, for want of a duty holder or since the
/// store was restored from a copy, the other gateways write it, one after the other.
class VersionLogWriter : public std::enable_shared_from_this<VersionLogWriter>
{
public:
	explicit VersionLogWriter(GatewayContext& _context);

	/// Starts the periodic work.
	void init();

	/// Ends all calls.
	void shutdown();

	/// Takes over the store's log if it has changed, and writes it if it lacks something.
	void onContent();

private:
	void schedule();
	void adoptStored();
	void writeIfNeeded();
	/// Ends the wait at the start once the log names what is listed, since streams cannot begin before.
	void endStartWait(Micros _now);
	void write();

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_channel;
	boost::asio::steady_timer m_timer;
	std::optional<VersionLog> m_stored; ///< The log that the content holds.
	std::uint64_t m_revision = 0;       ///< Its revision; 0 if there is none.
	Micros m_neededSince = kNever;      ///< Since when it lacks something.
	Micros m_writtenAt = kLongAgo;      ///< When it was last written; kLongAgo once the content shows that.
	Micros m_contentSince = kNever;     ///< Since when there has been content.
	bool m_writing = false;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_VERSIONLOGWRITER_H
