// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendlistsync.h"

#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "platform/documents.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Longest time for a read: 10,000 records of 250 bytes are 2.5 MB, or 2 s on a link of 10 Mbit/s that callers'
/// answers share.
constexpr Micros kReadTimeout = 6 * kSecond;
/// Time between two checks while there is no list yet: the first one from a peer may be old.
constexpr Micros kStartCheckInterval = 200 * kMillisecond;
constexpr Micros kCheckInterval = 50 * kMillisecond; ///< Time between two checks while a list is awaited.
/// Time between two checks while the store is unreachable.
constexpr Micros kUnreachableCheckInterval = 100 * kMillisecond;
/// Probe interval while the store is unreachable. StoreSync tries the store too, but not while it gets the content
/// from another gateway, so that nothing else would notice that the store is back.
constexpr Micros kProbeInterval = 2 * kSecond;
/// Reads that may wait at the same time: all but two of those that start within the longest timeout in use, 2.4 s.
constexpr std::size_t kMaxReads = 8;
} // namespace

BackendListSync::BackendListSync(GatewayContext& _context)
	: m_context(_context), m_budget(_context.settings.drainSpan), m_pace(m_budget), m_timer(_context.loop)
{
}

void BackendListSync::init()
{
	schedule(kStartCheckInterval);
}

void BackendListSync::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	cancelReads();
	if (m_idleReader)
	{
		m_idleReader->close();
	}
	if (m_probe)
	{
		m_probe->close();
	}
}

void BackendListSync::schedule(Micros _span)
{
	m_due = monotonicNow() + _span;
	m_timer.expires_after(std::chrono::microseconds(_span));
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
	const Micros now = monotonicNow();
	m_context.storeReachability.onProcessStalled(std::max<Micros>(0, now - m_due), now);
	if (m_context.directory.revision() == 0)
	{
		schedule(kStartCheckInterval);
		return;
	}
	const Micros age = m_context.directory.listAge(now);
	if (age < m_budget.listReadAge)
	{
		onListFresh(age);
	}
	else if (m_context.storeReachability.isUnreachable(now))
	{
		waitWhileUnreachable(now);
	}
	else
	{
		readWhileReachable(now);
	}
}

void BackendListSync::onListFresh(Micros _age)
{
	onStoreReachable(_age);
	m_context.storeReachability.resetFindings();
	m_pace.onAnswered();
	schedule(std::max(kCheckInterval, m_budget.listReadAge - _age));
}

void BackendListSync::onStoreReachable(Micros _age)
{
	if (std::exchange(m_storeUnreachable, false))
	{
		logEvent(LogLevel::Info, "store-in-reach", {{"list_age_ms", millisText(_age)}});
	}
}

void BackendListSync::readWhileReachable(Micros _now)
{
	onStoreReachable(m_context.directory.listAge(_now));
	if (mayStartRead(_now))
	{
		startReadOrProbe(_now);
	}
	schedule(kCheckInterval);
}

void BackendListSync::waitWhileUnreachable(Micros _now)
{
	const StoreReachability& reachability = m_context.storeReachability;
	m_context.directory.onStoreUnreachable(_now);
	if (!m_storeUnreachable)
	{
		m_storeUnreachable = true;
		logEvent(LogLevel::Warning, "store-out-of-reach",
				 {{"cause", reachability.rejectsReads() ? "turned-away" : "silent"},
				  {"silent_ms", millisText(reachability.silence(_now))},
				  {"list_age_ms", millisText(m_context.directory.listAge(_now))}});
		// The connections of these reads may be broken, and would keep later reads from starting.
		cancelReads();
	}
	if (reachability.idle(_now) > kProbeInterval)
	{
		startReadOrProbe(_now);
	}
	schedule(kUnreachableCheckInterval);
}

bool BackendListSync::mayStartRead(Micros _now) const
{
	// While an answer is being received, another one would only slow it down.
	const auto receiving = [](const ReaderPtr& _reader)
	{
		return _reader->receiving();
	};
	return m_pace.due(_now) && m_reads.size() < kMaxReads &&
		   std::none_of(m_reads.begin(), m_reads.end(), receiving);
}

void BackendListSync::startReadOrProbe(Micros _now)
{
	if (m_context.mayReadStore(_now))
	{
		startRead(_now);
	}
	else if (!m_probing)
	{
		startProbe(_now);
	}
}

void BackendListSync::startProbe(Micros _now)
{
	m_pace.onReadStarted(_now);
	m_probing = true;
	if (!m_probe)
	{
		m_probe =
			std::make_shared<RangeReader>(m_context, std::string(kHolderKey), StorePurpose::Probe, kReadTimeout);
	}
	m_probe->read(m_budget.maxListAge,
				  [self = shared_from_this()](const std::optional<StoreContent>& _content)
				  {
					  self->m_probing = false;
					  if (_content || self->m_probe->fault() == ChannelFault::CallRejected)
					  {
						  self->m_pace.onAnswered();
					  }
				  });
}

void BackendListSync::startRead(Micros _now)
{
	m_pace.onReadStarted(_now);
	ReaderPtr reader = std::exchange(m_idleReader, nullptr);
	if (!reader)
	{
		reader = std::make_shared<RangeReader>(m_context, platform::backendPrefix(), StorePurpose::BackendList,
											   kReadTimeout);
	}
	m_reads.push_back(reader);
	// A slower answer would deliver a list that is too old to send requests by.
	reader->read(m_budget.maxListAge,
				 [self = shared_from_this(), weak = std::weak_ptr<RangeReader>(reader)](
					 std::optional<StoreContent> _content) { self->onList(weak.lock(), std::move(_content)); });
}

void BackendListSync::cancelReads()
{
	for (const ReaderPtr& reader : m_reads)
	{
		reader->close();
	}
	m_reads.clear();
}

void BackendListSync::onList(const ReaderPtr& _reader, std::optional<StoreContent> _content)
{
	const Micros now = monotonicNow();
	std::erase(m_reads, _reader);
	if (_content || _reader->fault() == ChannelFault::CallRejected)
	{
		m_pace.onAnswered();
	}
	if (!_content)
	{
		logEvent(LogLevel::Warning, "backend-list-unread",
				 {{"cause", std::string(toString(_reader->fault()))},
				  {"list_age_ms", millisText(m_context.directory.listAge(now))}});
	}
	if (m_idleReader)
	{
		_reader->close();
	}
	else
	{
		m_idleReader = _reader;
	}
	if (!_content)
	{
		return;
	}
	BackendEntries entries = m_context.backendRecords.read(_content->items);
	m_context.directory.applyList(
		{_content->revision, std::move(entries.records), _content->confirmed, std::move(entries.unreadable)}, now);
	m_context.metrics.onListRead();
	if (m_context.onDirectoryChanged)
	{
		m_context.onDirectoryChanged();
	}
}

} // namespace beacongate
