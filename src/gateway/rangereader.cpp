// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/rangereader.h"

#include "beacongate/limits.h"
#include "coordination/storerevision.h"
#include "daemon/clock.h"
#include "gateway/storeera.h"
#include "platform/documents.h"
#include "platform/storecalls.h"

#include <utility>

namespace beacongate
{
namespace
{
constexpr unsigned kTooManyRequests = 429; ///< All gateways together call too often; the store itself is healthy.
} // namespace

RangeReader::RangeReader(GatewayContext& _context, std::string _prefix, StorePurpose _purpose, Micros _pageTimeout)
	: m_context(_context), m_reachability(_context.storeReachability), m_traffic(_context.traffic),
	  m_purpose(_purpose),
	  m_channel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, limits::kSnapshotBytes)),
	  m_prefix(std::move(_prefix)), m_pageTimeout(_pageTimeout)
{
}

void RangeReader::read(Micros _idleTimeout, Handler _handler, MayContinue _mayContinue)
{
	m_mayContinue = std::move(_mayContinue);
	m_endedEarly = false;
	m_idleTimeout = _idleTimeout;
	m_handler = std::move(_handler);
	m_content = {};
	m_content.confirmed = monotonicNow();
	readPage("");
}

void RangeReader::close()
{
	m_closed = true;
	m_channel->close();
	if (m_requestedAt != kNever)
	{
		m_reachability.onReadAbandoned(std::exchange(m_requestedAt, kNever), monotonicNow());
	}
	m_handler = nullptr;
	m_mayContinue = nullptr;
}

void RangeReader::readPage(const std::string& _afterKey)
{
	ChannelRequest request = platform::rangeCall(m_prefix, _afterKey);
	request.maxDuration = m_pageTimeout;
	request.onProgress = [this]
	{
		// The channel is closed before this reader is destroyed, and calls nothing afterwards.
		m_reachability.onBytesReceived(monotonicNow());
	};
	m_requestedAt = monotonicNow();
	m_reachability.onReadSent(m_requestedAt);
	m_traffic.onStoreCall(m_purpose);
	m_channel->call(std::move(request), m_idleTimeout,
					[self = shared_from_this()](const std::optional<HttpAnswer>& _answer)
					{
						if (!self->m_closed)
						{
							self->onAnswer(_answer);
						}
					});
}

void RangeReader::onAnswer(const std::optional<HttpAnswer>& _answer)
{
	const Micros now = monotonicNow();
	const std::optional<KvPage> page = platform::readRange(_answer);
	noteStoreEra(m_context, _answer);
	const bool tooManyRequests = _answer && _answer->status == kTooManyRequests;
	const Micros requestedAt = std::exchange(m_requestedAt, kNever);
	if (page)
	{
		m_fault = ChannelFault::None;
		m_reachability.onAnswered(requestedAt, now);
	}
	else
	{
		const ChannelFault answered = tooManyRequests ? ChannelFault::Busy : ChannelFault::CallRejected;
		m_fault = _answer ? answered : m_channel->fault();
		m_fault == ChannelFault::CallRejected ? m_reachability.onReadRejected(requestedAt, now)
											  : m_reachability.onReadAbandoned(requestedAt, now);
	}
	onPage(page);
}

void RangeReader::onPage(const std::optional<KvPage>& _page)
{
	if (!_page)
	{
		std::exchange(m_handler, nullptr)(std::nullopt);
		return;
	}
	if (m_content.items.empty())
	{
		m_content.revision = _page->revision;
	}
	if (StoreRevision::eraOf(_page->revision) != StoreRevision::eraOf(m_content.revision))
	{
		// The store was restored between two pages: together they are no state of it.
		m_fault = ChannelFault::CallRejected;
		std::exchange(m_handler, nullptr)(std::nullopt);
		return;
	}
	for (const KvItem& item : _page->items)
	{
		KvItem& stored = m_content.items[item.key];
		stored = item;
		if (platform::backendIdOf(item) && item.value.size() > limits::kBackendRecordBytes)
		{
			// Another writer may store a megabyte under each key. Without its value the record is refused just the
			// same, and neither memory nor the updates for other gateways grow.
			stored.value.clear();
		}
	}
	if (_page->more && !_page->items.empty())
	{
		if (m_mayContinue && !m_mayContinue())
		{
			m_endedEarly = true;
			std::exchange(m_handler, nullptr)(std::nullopt);
			return;
		}
		readPage(_page->items.back().key);
		return;
	}
	std::exchange(m_handler, nullptr)(std::move(m_content));
}

} // namespace beacongate
