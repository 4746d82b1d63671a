// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Reads all keys of the store that begin alike, page by page.

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
/// One read at a time on a connection of its own; what it shows of the store is told to a StoreReachability.
class RangeReader : public std::enable_shared_from_this<RangeReader>
{
public:
	/// Gets the content at the revision of its first page, confirmed when the read was sent; nothing where it
	/// failed.
	using Handler = std::function<void(std::optional<StoreContent>)>;

	/// @param[in] _longest A page that is not whole after this span has failed.
	RangeReader(boost::asio::io_context& _loop, StoreReachability& _contact, const Address& _store,
				std::string _prefix, Micros _longest);

	/// Begins to read. Nothing else may be being read.
	/// @param[in] _silence A page that brings no bytes for this long has failed.
	void read(Micros _silence, Handler _handler);

	/// @returns whether bytes of a page are coming.
	bool receiving() const
	{
		return m_channel->receiving();
	}

	/// @returns why the last read failed; for its handler. An answer that is no page counts as turned away.
	ChannelFault fault() const
	{
		return m_fault;
	}

	/// Ends all calls; no handler is called any more.
	void close();

private:
	void readPage(const std::string& _afterKey);
	void onAnswer(const std::optional<HttpAnswer>& _answer);
	void onPage(const std::optional<KvPage>& _page);

	StoreReachability& m_contact;
	std::shared_ptr<HttpChannel> m_channel;
	std::string m_prefix;
	Micros m_silence = 0;
	Micros m_longest;
	Micros m_asked = kNever; ///< When the page was asked for that has not come yet.
	StoreContent m_content;
	Handler m_handler;
	ChannelFault m_fault = ChannelFault::None;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_RANGEREADER_H
