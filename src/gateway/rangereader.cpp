// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/rangereader.h"

#include "beacongate/limits.h"
#include "daemon/clock.h"
#include "platform/storecalls.h"

#include <utility>

namespace beacongate
{
RangeReader::RangeReader(boost::asio::io_context& loop, const Address& store, std::string prefix, Micros silence,
						 Micros longest)
	: m_channel(std::make_shared<HttpChannel>(loop, store, limits::kSnapshotBytes)), m_prefix(std::move(prefix)),
	  m_silence(silence), m_longest(longest)
{
}

void RangeReader::read(Handler handler)
{
	m_handler = std::move(handler);
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

void RangeReader::readPage(const std::string& afterKey)
{
	ChannelRequest request = platform::rangeCall(m_prefix, afterKey);
	request.longest = m_longest;
	m_channel->call(std::move(request), m_silence,
					[self = shared_from_this()](const std::optional<HttpAnswer>& answer)
					{
						if (!self->m_closed)
						{
							self->onPage(platform::readRange(answer));
						}
					});
}

void RangeReader::onPage(const std::optional<KvPage>& page)
{
	if (!page)
	{
		std::exchange(m_handler, nullptr)(std::nullopt);
		return;
	}
	if (m_content.items.empty())
	{
		m_content.revision = page->revision;
	}
	for (const KvItem& item : page->items)
	{
		m_content.items[item.key] = item;
	}
	if (page->more && !page->items.empty())
	{
		readPage(page->items.back().key);
		return;
	}
	std::exchange(m_handler, nullptr)(std::move(m_content));
}

} // namespace beacongate
