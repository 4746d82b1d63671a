// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Reads all keys of the store with a common prefix, page by page.

#ifndef BEACONGATE_GATEWAY_RANGEREADER_H
#define BEACONGATE_GATEWAY_RANGEREADER_H

#include "coordination/kvtypes.h"
#include "coordination/storereachability.h"
#include "transport/httpchannel.h"

#include <boost/asio/io_context.hpp>

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

	/// @param[in] _pageTimeout A page that is not complete after this span has failed.
	RangeReader(boost::asio::io_context& _loop, StoreReachability& _reachability, const Address& _store,
				std::string _prefix, Micros _pageTimeout);

	/// Starts a read. No other read may be running.
	/// @param[in] _idleTimeout A page that receives no bytes for this long has failed.
	void read(Micros _idleTimeout, Handler _handler);

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

	StoreReachability& m_reachability;
	std::shared_ptr<HttpChannel> m_channel;
	std::string m_prefix;
	Micros m_idleTimeout = 0;
	Micros m_pageTimeout;
	Micros m_requestedAt = kNever; ///< When the page that is still awaited was requested.
	StoreContent m_content;
	Handler m_handler;
	ChannelFault m_fault = ChannelFault::None;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_RANGEREADER_H
