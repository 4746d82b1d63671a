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
/// 10,000 records of 250 bytes are 2.5 MB: 2 s of a link of 10 Mbit/s that callers' answers share.
constexpr Micros kLongest = 6 * kSecond;
/// Between two looks while nothing is known: what a peer tells first may be old.
constexpr Micros kLookAtStart = 200 * kMillisecond;
constexpr Micros kLook = 50 * kMillisecond;            ///< Between two looks while a list is waited for.
constexpr Micros kLookOutOfReach = 100 * kMillisecond; ///< The same while the store is out of reach.
/// While the store is out of reach StoreSync tries it. Where that takes the content from another gateway, nobody
/// would find out, so this reads after such a pause.
constexpr Micros kProbePause = 2 * kSecond;
/// Reads that wait at the same time: as many as begin within the longest patience in use, 2.4 s, but for two.
constexpr std::size_t kMostReads = 8;
} // namespace

BackendListSync::BackendListSync(GatewayContext& _context)
	: m_context(_context), m_budget(_context.settings.drainSpan), m_pace(m_budget), m_timer(_context.loop)
{
}

void BackendListSync::init()
{
	schedule(kLookAtStart);
}

void BackendListSync::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	giveUpReads();
	if (m_spare)
	{
		m_spare->close();
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
	m_context.storeContact.onProcessStalled(std::max<Micros>(0, now - m_due), now);
	if (m_context.directory.revision() == 0)
	{
		schedule(kLookAtStart);
		return;
	}
	const Micros age = m_context.directory.listAge(now);
	if (age < m_budget.listReadAge)
	{
		rest(age);
	}
	else if (m_context.storeContact.isUnreachable(now))
	{
		waitOutOfReach(now);
	}
	else
	{
		readInReach(now);
	}
}

void BackendListSync::rest(Micros _age)
{
	noteInReach(_age);
	m_context.storeContact.resetFindings();
	m_pace.onAnswered();
	schedule(std::max(kLook, m_budget.listReadAge - _age));
}

void BackendListSync::noteInReach(Micros _age)
{
	if (std::exchange(m_outOfReach, false))
	{
		logEvent(LogLevel::Info, "store-in-reach", {{"list_age_ms", millisText(_age)}});
	}
}

void BackendListSync::readInReach(Micros _now)
{
	noteInReach(m_context.directory.listAge(_now));
	if (mayStartRead(_now))
	{
		begin(_now);
	}
	schedule(kLook);
}

void BackendListSync::waitOutOfReach(Micros _now)
{
	const StoreReachability& contact = m_context.storeContact;
	m_context.directory.onStoreUnreachable(_now);
	if (!m_outOfReach)
	{
		m_outOfReach = true;
		logEvent(LogLevel::Warning, "store-out-of-reach",
				 {{"cause", contact.rejectsReads() ? "turned-away" : "silent"},
				  {"silent_ms", millisText(contact.silence(_now))},
				  {"list_age_ms", millisText(m_context.directory.listAge(_now))}});
		// Their connections may be dead, and would keep later reads from beginning.
		giveUpReads();
	}
	if (contact.idle(_now) > kProbePause)
	{
		begin(_now);
	}
	schedule(kLookOutOfReach);
}

bool BackendListSync::mayStartRead(Micros _now) const
{
	// While bytes come, another answer would only slow them down.
	const auto receiving = [](const ReaderPtr& _reader)
	{
		return _reader->receiving();
	};
	return m_pace.due(_now) && m_reads.size() < kMostReads &&
		   std::none_of(m_reads.begin(), m_reads.end(), receiving);
}

void BackendListSync::begin(Micros _now)
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
		m_probe = std::make_shared<RangeReader>(m_context.loop, m_context.storeContact, m_context.settings.store,
												std::string(kHolderKey), kLongest);
	}
	m_probe->read(m_budget.maxListAge,
				  [self = shared_from_this()](const std::optional<StoreContent>& _content)
				  {
					  self->m_probing = false;
					  if (_content || self->m_probe->fault() == ChannelFault::TurnedAway)
					  {
						  self->m_pace.onAnswered();
					  }
				  });
}

void BackendListSync::startRead(Micros _now)
{
	m_pace.onReadStarted(_now);
	ReaderPtr reader = std::exchange(m_spare, nullptr);
	if (!reader)
	{
		reader = std::make_shared<RangeReader>(m_context.loop, m_context.storeContact, m_context.settings.store,
											   platform::backendPrefix(), kLongest);
	}
	m_reads.push_back(reader);
	// An answer that takes longer would bring a list that is too old to send by.
	reader->read(m_budget.maxListAge,
				 [self = shared_from_this(), weak = std::weak_ptr<RangeReader>(reader)](
					 std::optional<StoreContent> _content) { self->onList(weak.lock(), std::move(_content)); });
}

void BackendListSync::giveUpReads()
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
	if (_content || _reader->fault() == ChannelFault::TurnedAway)
	{
		m_pace.onAnswered();
	}
	if (!_content)
	{
		logEvent(LogLevel::Warning, "backend-list-unread",
				 {{"cause", std::string(toString(_reader->fault()))},
				  {"list_age_ms", millisText(m_context.directory.listAge(now))}});
	}
	if (m_spare)
	{
		_reader->close();
	}
	else
	{
		m_spare = _reader;
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
