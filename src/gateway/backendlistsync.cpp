// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendlistsync.h"

#include "daemon/logging.h"
#include "platform/documents.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Share of the bound at which the list is read by itself. The rest is for that read, a connection to the backend
/// server (0.3 s at most) and the way there.
constexpr Micros kAgeDivisor = 2;
constexpr Micros kSilence = 400 * kMillisecond; ///< Many times the store's usual answer of 10 ms.
constexpr Micros kLongest =
	900 * kMillisecond; ///< 10,000 records of 250 bytes need 2.5 MB: pages of 500 come in time.
constexpr Micros kPauseMin = 50 * kMillisecond; ///< Between two looks at the age.
constexpr Micros kRetry = 200 * kMillisecond;   ///< After a read that failed.
} // namespace

BackendListSync::BackendListSync(GatewayContext& _context)
	: m_context(_context), m_reader(std::make_shared<RangeReader>(_context.loop, _context.settings.store,
																  platform::backendPrefix(), kSilence, kLongest)),
	  m_timer(_context.loop)
{
}

void BackendListSync::init()
{
	schedule(m_context.settings.drainSpan / kAgeDivisor);
}

void BackendListSync::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_reader->close();
}

void BackendListSync::schedule(Micros _span)
{
	m_timer.expires_after(std::chrono::microseconds(std::max(_span, kPauseMin)));
	m_timer.async_wait(
		[self = shared_from_this()](const boost::system::error_code& _error)
		{
			if (!_error && !self->m_closed)
			{
				self->check();
			}
		});
}

void BackendListSync::check()
{
	const Micros bound = m_context.settings.drainSpan / kAgeDivisor;
	const Micros age = m_context.directory.listAge(monotonicNow());
	const bool known = m_context.directory.revision() != 0;
	if (!known || age < bound)
	{
		schedule(known ? bound - age : bound);
		return;
	}
	if (!m_context.storeReachable)
	{
		// StoreSync finds out when the store answers again; two that try would double the calls of an outage.
		schedule(kRetry);
		return;
	}
	m_reader->read([self = shared_from_this()](std::optional<StoreContent> _content)
				   { self->onList(std::move(_content)); });
}

void BackendListSync::onList(std::optional<StoreContent> _content)
{
	const Micros now = monotonicNow();
	if (!_content)
	{
		m_context.directory.onStoreFailed(now);
		logEvent(LogLevel::Warning, "backend-list-unread",
				 {{"cause", std::string(toString(m_reader->fault()))},
				  {"list_age_ms", millisText(m_context.directory.listAge(now))}});
		schedule(kRetry);
		return;
	}
	m_context.directory.applyList(
		{_content->revision, m_context.backendRecords.read(_content->items), _content->confirmed}, now);
	m_context.metrics.onListRead();
	if (m_context.onDirectoryChanged)
	{
		m_context.onDirectoryChanged();
	}
	schedule(kPauseMin);
}

} // namespace beacongate
