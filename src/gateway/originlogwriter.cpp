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
			  self->writeIfChanged();
			  self->schedule();
		  });
}

void OriginLogWriter::onContent()
{
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

void OriginLogWriter::writeIfChanged()
{
	const std::uint64_t lease = m_context.registrationLease;
	if (m_writing || m_closed || lease == 0)
	{
		return;
	}
	const std::vector<StreamOriginRecord> records =
		m_context.origins.ownRecords(OriginLogPlan::records(m_context.members.count()), monotonicNow());
	std::string value = records.empty() ? "" : encodeOriginLog(records);
	const bool isWritten = value == m_written && (value.empty() || lease == m_writtenLease);
	if (!isWritten)
	{
		write(std::move(value));
	}
}

void OriginLogWriter::write(std::string _value)
{
	m_writing = true;
	const std::uint64_t lease = m_context.registrationLease;
	const std::string key = originsKey(m_context.settings.name);
	// Only this gateway writes its list, and a delayed write of an earlier one is made up for by the next.
	KvTransaction change;
	if (_value.empty())
	{
		change.removes = {key};
	}
	else
	{
		change.puts = {{key, _value, lease}};
	}
	m_context.traffic.onStoreCall(StorePurpose::OriginLog);
	m_channel->call(platform::transactionCall(change), kCallTimeout,
					[self = shared_from_this(), value = std::move(_value), lease,
					 restores = m_context.storeRestores](const std::optional<HttpAnswer>& _answer)
					{
						self->m_writing = false;
						const bool restored = metRestore(self->m_context, _answer, restores);
						if (!restored && platform::readTransaction(_answer).outcome == KvOutcome::Done)
						{
							self->m_written = value;
							self->m_writtenLease = lease;
						}
					});
}

} // namespace beacongate
