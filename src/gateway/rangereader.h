// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Reads all keys of the store that begin alike, page by page.

#ifndef BEACONGATE_GATEWAY_RANGEREADER_H
#define BEACONGATE_GATEWAY_RANGEREADER_H

#include "coordination/kvtypes.h"
#include "transport/httpchannel.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace beacongate
{
/// One read at a time on a connection of its own.
class RangeReader : public std::enable_shared_from_this<RangeReader>
{
public:
	/// Gets the content at the revision of its first page, confirmed when the read was sent; nothing where it
	/// failed.
	using Handler = std::function<void(std::optional<StoreContent>)>;

	/// @param[in] silence A page that brings no bytes for this long has failed.
	/// @param[in] longest A page that is not whole after this span has failed.
	RangeReader(boost::asio::io_context& _loop, const Address& _store, std::string _prefix, Micros _silence,
				Micros _longest);

	/// Begins to read. Nothing else may be being read.
	void read(Handler _handler);

	/// @returns why the last read failed; for its handler. An answer that is no page counts as turned away.
	ChannelFault fault() const
	{
		return m_fault;
	}

	/// Ends all calls; no handler is called any more.
	void close();

private:
	void readPage(const std::string& _afterKey);
	void onPage(const std::optional<KvPage>& _page);

	std::shared_ptr<HttpChannel> m_channel;
	std::string m_prefix;
	Micros m_silence;
	Micros m_longest;
	StoreContent m_content;
	Handler m_handler;
	ChannelFault m_fault = ChannelFault::None;
	bool m_closed = false;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_RANGEREADER_H
