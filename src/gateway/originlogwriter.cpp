// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/originlogwriter.h"

#include "coordination/originlogplan.h"
#include "daemon/clock.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "gateway/storesync_p.h"
#include "platform/storecalls.h"
#include "protocol/originlogcodec.h"

#include <optional>
#include <utility>

namespace beacongate
{
namespace
{
constexpr Micros kCallTimeout = 1 * kSecond;
constexpr std::size_t kAnswerBytes = 64u << 10;
/// Time after the start in which lists are taken over.
constexpr Micros kAdoptionSpan = 10 * kSecond;
/// Interval at which a list is looked through for streams that were all delivered meanwhile.
constexpr Micros kCleanupInterval = 1 * kSecond;
} // namespace

OriginLogWriter::OriginLogWriter(GatewayContext& _context)
	: m_context(_context),
	  m_channel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kAnswerBytes)),
	  m_timer(_context.loop)
{
}

void OriginLogWriter::init()
{
	schedule();
}

void OriginLogWriter::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_channel->close();
}

void OriginLogWriter::schedule()
{
	after(m_timer, m_context.jittered(OriginLogPlan::interval(m_context.members.count())),
		  [self = shared_from_this()]
		  {
			  self->writeIfNeeded();
			  self->schedule();
		  });
}

void OriginLogWriter::onContent()
{
	if (monotonicNow() - m_context.started > kAdoptionSpan)
	{
		// Streams that begin now are told to their homes.
		return;
	}
	const auto& items = m_context.content.items;
	const std::string ownKey = originsKey(m_context.settings.name);
	for (auto item = items.lower_bound(std::string(kOriginsPrefix));
		 item != items.end() && item->first.starts_with(kOriginsPrefix); ++item)
	{
		if (std::exchange(m_adopted[item->first], item->second.revision) == item->second.revision)
		{
			continue;
		}
		const auto records = decodeOriginLog(item->second.value);
		if (!records)
		{
			logEvent(LogLevel::Warning, "origin-log-unreadable", {{"key", item->first}});
			continue;
		}
		m_context.origins.adopt(*records, item->first == ownKey, monotonicNow());
	}
	std::erase_if(m_adopted, [&items](const auto& _entry) { return !items.count(_entry.first); });
}

void OriginLogWriter::writeIfNeeded()
{
	const Micros now = monotonicNow();
	const State state{m_context.registrationLease, m_context.origins.begun(), m_context.versions.hasSeveral()};
	const bool isCurrent = state == m_writtenState || (!state.several && !m_written);
	const bool cleansUp = m_written && now - m_checkedAt >= kCleanupInterval;
	if (m_writing || m_closed || state.lease == 0 || (isCurrent && !cleansUp))
	{
		return;
	}
	m_checkedAt = now;
	const std::vector<StreamOriginRecord> records =
		m_context.origins.ownRecords(OriginLogPlan::records(m_context.members.count()), now);
	if (records.empty() && !m_written)
	{
		m_writtenState = state;
	}
	else if (records.empty() || !isCurrent)
	{
		write(records, state);
	}
}

void OriginLogWriter::write(const std::vector<StreamOriginRecord>& _records, const State& _state)
{
	m_writing = true;
	const std::string key = originsKey(m_context.settings.name);
	// Only this gateway writes its list, and a delayed write of an earlier one is made up for by the next.
	KvTransaction change;
	if (_records.empty())
	{
		change.removes = {key};
	}
	else
	{
		change.puts = {{key, encodeOriginLog(_records), _state.lease}};
	}
	m_context.traffic.onStoreCall(StorePurpose::OriginLog);
	m_channel->call(platform::transactionCall(change), kCallTimeout,
					[self = shared_from_this(), state = _state, written = !_records.empty(),
					 restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
					{
						self->m_writing = false;
						const bool restored = metRestore(self->m_context, _answer, restores);
						if (!restored && platform::readTransaction(_answer).outcome == KvOutcome::Done)
						{
							self->m_writtenState = state;
							self->m_written = written;
						}
					});
}

} // namespace beacongate
