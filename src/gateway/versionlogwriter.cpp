// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/versionlogwriter.h"

#include "coordination/storerevision.h"
#include "daemon/clock.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "gateway/storesync_p.h"
#include "platform/storecalls.h"
#include "protocol/versioncodec.h"

namespace beacongate
{
namespace
{
constexpr Micros kCheckInterval = 250 * kMillisecond;
constexpr Micros kCallTimeout = 1 * kSecond;
constexpr std::size_t kAnswerBytes = 64u << 10;
/// For how long the content may not show a write yet.
constexpr Micros kContentDelay = 1 * kSecond;
/// Longest time for which a start waits for the log: other requests can be served without it.
constexpr Micros kMaxStartWait = 2 * kSecond;
/// Delay before a gateway without the duties writes, so that a duty holder comes first.
constexpr Micros kOthersDelay = 1 * kSecond;
/// Further delay per rank, so that a write reaches the next gateways before they begin their own.
constexpr Micros kDelayPerRank = 100 * kMillisecond;
} // namespace

VersionLogWriter::VersionLogWriter(GatewayContext& _context)
	: m_context(_context),
	  m_channel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, kAnswerBytes)),
	  m_timer(_context.loop)
{
}

void VersionLogWriter::init()
{
	schedule();
}

void VersionLogWriter::shutdown()
{
	m_closed = true;
	m_timer.cancel();
	m_channel->close();
}

void VersionLogWriter::schedule()
{
	after(m_timer, m_context.jittered(kCheckInterval),
		  [self = shared_from_this()]
		  {
			  self->writeIfNeeded();
			  self->schedule();
		  });
}

void VersionLogWriter::onContent()
{
	adoptStored();
	writeIfNeeded();
}

void VersionLogWriter::adoptStored()
{
	const auto item = m_context.content.items.find(kVersionsKey);
	const std::uint64_t revision = item == m_context.content.items.end() ? 0 : item->second.revision;
	if (revision == m_revision)
	{
		return;
	}
	m_revision = revision;
	m_writtenAt = kLongAgo;
	m_stored = revision == 0 ? std::nullopt : decodeVersionLog(item->second.value);
	if (m_stored)
	{
		const Micros now = monotonicNow();
		m_context.versions.adopt(*m_stored, m_context.storeEra.value_or(0), now, m_context.clock.trueTime(now));
	}
	else if (revision != 0)
	{
		logEvent(LogLevel::Warning, "version-log-unreadable", {{"next", "it is written anew"}});
	}
}

void VersionLogWriter::writeIfNeeded()
{
	const Micros now = monotonicNow();
	const std::uint64_t era = m_context.storeEra.value_or(0);
	const bool contentKnown =
		m_context.directory.config() && StoreRevision::eraOf(m_context.content.revision) == era;
	const bool needed = contentKnown && m_context.versions.needsWriting(m_stored, era, m_context.holdsDuties, now,
																		m_context.clock.trueTime(now));
	contentKnown ? endStartWait(now) : void();
	m_neededSince = needed ? std::min(m_neededSince, now) : kNever;
	const bool awaitsContent = now - m_writtenAt < kContentDelay;
	if (!needed || awaitsContent || m_writing || m_closed || m_context.stopping)
	{
		return;
	}
	const std::optional<std::size_t> rank = m_context.relays.position();
	const Micros delay = rank ? kOthersDelay + kDelayPerRank * static_cast<Micros>(*rank) : kNever;
	if (m_context.holdsDuties || now - m_neededSince >= delay)
	{
		write();
	}
}

void VersionLogWriter::endStartWait(Micros _now)
{
	m_contentSince = std::min(m_contentSince, _now);
	const bool waitedLong = _now - m_contentSince >= kMaxStartWait;
	m_context.versionsLoggedOnce =
		m_context.versionsLoggedOnce || (m_stored && m_context.versions.allLogged()) || waitedLong;
}

void VersionLogWriter::write()
{
	m_writing = true;
	const Micros now = monotonicNow();
	const VersionLog log =
		m_context.versions.log(m_context.storeEra.value_or(0), now, m_context.clock.trueTime(now));
	KvTransaction change;
	change.conditions = {{kVersionsKey, m_revision}};
	change.puts = {{kVersionsKey, encodeVersionLog(log), 0}};
	m_context.traffic.onStoreCall(StorePurpose::VersionLog);
	m_channel->call(
		platform::transactionCall(change), kCallTimeout,
		[self = shared_from_this(), versions = log.entries.size()](const std::optional<HttpAnswer>& _answer)
		{
			self->m_writing = false;
			self->m_writtenAt = monotonicNow();
			noteStoreEra(self->m_context, _answer);
			const bool written = platform::readTransaction(_answer).outcome == KvOutcome::Done;
			logEvent(LogLevel::Info, "version-log",
					 {{"versions", std::to_string(versions)}, {"written", written ? "yes" : "no"}});
			// Streams may wait for the log.
			self->m_context.onContentNeeded();
		});
}

} // namespace beacongate
