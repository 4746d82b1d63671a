// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Reads all keys of the store with a common prefix, page by page.

#ifndef BEACONGATE_GATEWAY_RANGEREADER_H
#define BEACONGATE_GATEWAY_RANGEREADER_H

#include "coordination/kvtypes.h"
#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace beacongate
{
/// Performs one read at a time on its own connection, and reports to the store's reachability tracker what the
/// read shows.
class RangeReader : public std::enable_shared_from_this<RangeReader>
{
public:
	/// Receives the content at the revision of its first page, confirmed when the read was sent; nothing if the
	/// read failed.
	using Handler = std::function<void(std::optional<StoreContent>)>;

	/// @param[in] _prefix Prefix of the keys to read.
	/// @param[in] _purpose What the calls are counted for.
	/// @param[in] _pageTimeout A page that is not complete after this span has failed.
	RangeReader(GatewayContext& _context, std::string _prefix, StorePurpose _purpose, Micros _pageTimeout);

	/// Called after each page but the last; if it returns false, the read ends and its handler gets nothing.
	using MayContinue = std::function<bool()>;

	/// Starts a read. No other read may be running.
	/// @param[in] _idleTimeout A page that receives no bytes for this long has failed.
	/// @param[in] _mayContinue May be empty.
	void read(Micros _idleTimeout, Handler _handler, MayContinue _mayContinue = nullptr);

	/// @returns true if the last read was ended by MayContinue. Must be called by its handler.
	bool endedEarly() const
	{
		return m_endedEarly;
	}

	/// @returns true if bytes of a page are being received.
	bool receiving() const
	{
		return m_channel->receiving();
	}

	/// @returns the reason why the last read failed. Must be called by its handler. An answer that is not a page
	/// counts as CallRejected.
	ChannelFault fault() const
	{
		return m_fault;
	}

	/// Ends all calls; no handler is called afterwards.
	void close();

private:
	void readPage(const std::string& _afterKey);
	void onAnswer(const std::optional<HttpAnswer>& _answer);
	void onPage(const std::optional<KvPage>& _page);

	GatewayContext& m_context;
	StoreReachability& m_reachability;
	TrafficCounters& m_traffic;
	StorePurpose m_purpose;
	std::shared_ptr<HttpChannel> m_channel;
	std::string m_prefix;
	Micros m_idleTimeout = 0;
	Micros m_pageTimeout;
	Micros m_requestedAt = kNever; ///< When the page that is still awaited was requested.
	StoreContent m_content;
	Handler m_handler;
	MayContinue m_mayContinue;
	bool m_endedEarly = false;
	ChannelFault m_fault = ChannelFault::None;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_RANGEREADER_H
