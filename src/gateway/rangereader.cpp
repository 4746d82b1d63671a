// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/rangereader.h"

#include "beacongate/limits.h"
#include "daemon/clock.h"
#include "platform/storecalls.h"

#include <utility>

namespace beacongate
{
RangeReader::RangeReader(boost::asio::io_context& _loop, const Address& _store, std::string _prefix,
						 Micros _silence, Micros _longest)
	: m_channel(std::make_shared<HttpChannel>(_loop, _store, limits::kSnapshotBytes)), m_prefix(std::move(_prefix)),
	  m_silence(_silence), m_longest(_longest)
{
}

void RangeReader::read(Handler _handler)
{
	m_handler = std::move(_handler);
	m_content = {};
	m_content.confirmed = monotonicNow();
	readPage("");
}

void RangeReader::close()
{
	m_closed = true;
	m_channel->close();
	m_handler = nullptr;
}

void RangeReader::readPage(const std::string& _afterKey)
{
	ChannelRequest request = platform::rangeCall(m_prefix, _afterKey);
	request.longest = m_longest;
	m_channel->call(std::move(request), m_silence,
					[self = shared_from_this()](const std::optional<HttpAnswer>& _answer)
					{
						if (!self->m_closed)
						{
							self->m_fault = _answer ? ChannelFault::TurnedAway : self->m_channel->fault();
							self->onPage(platform::readRange(_answer));
						}
					});
}

void RangeReader::onPage(const std::optional<KvPage>& _page)
{
	if (!_page)
	{
		std::exchange(m_handler, nullptr)(std::nullopt);
		return;
	}
	m_fault = ChannelFault::None;
	if (m_content.items.empty())
	{
		m_content.revision = _page->revision;
	}
	for (const KvItem& item : _page->items)
	{
		m_content.items[item.key] = item;
	}
	if (_page->more && !_page->items.empty())
	{
		readPage(_page->items.back().key);
		return;
	}
	std::exchange(m_handler, nullptr)(std::move(m_content));
}

} // namespace beacongate
