// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/storesync.h"

#include "coordination/storerevision.h"
#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storeera.h"
#include "gateway/storesync_p.h"
#include "platform/documents.h"
#include "platform/storecalls.h"
#include "protocol/contentcodec.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Interval between reads. Two intervals are well below every bound on the delay of a change.
constexpr Micros kReadInterval = 600 * kMillisecond;
/// The relay is asked once the content has not been confirmed for this long. In a large fleet, peers confirm it
/// more often.
constexpr Micros kRelayInterval = 300 * kMillisecond;
constexpr Micros kMinCheckInterval = 20 * kMillisecond; ///< Shortest time between two checks of the content's age.
/// A relay that sends nothing for this long has failed. It is a millisecond or two away and answers from memory.
constexpr Micros kRelayTimeout = 150 * kMillisecond;
/// The content of a relay is not used if it was confirmed longer ago.
constexpr Micros kMaxRelayContentAge = 1500 * kMillisecond;
constexpr Micros kMinRefreshInterval = 200 * kMillisecond; ///< Shortest time between two early reads.
constexpr Micros kRetryMin = 100 * kMillisecond;
constexpr Micros kRetryMax = 600 * kMillisecond;
constexpr Micros kWatchSpan = 5 * kSecond;
constexpr Micros kWatchTimeout = kWatchSpan + kSecond;
constexpr Micros kWatchRetry = 500 * kMillisecond;
} // namespace

StoreSync::StoreSync(GatewayContext& _context)
	: m_context(_context),
	  m_startPlan(_context.settings.callers.host, static_cast<std::uint32_t>(_context.random()),
				  _context.settings.firstStart, _context.settings.cpuPercent),
	  m_reader(std::make_shared<RangeReader>(_context, "", StorePurpose::Content, kMaxReadDuration)),
	  m_relaysReader(std::make_shared<RangeReader>(_context, relaySlotPrefix(_context.settings.dataCentre),
												   StorePurpose::Relays, kMaxReadDuration)),
	  m_watchChannel(std::make_shared<HttpChannel>(_context.loop, _context.settings.store, limits::kSnapshotBytes)),
	  m_readTimer(_context.loop), m_watchTimer(_context.loop), m_peerTimer(_context.loop)
{
}

void StoreSync::init()
{
	read();
	scheduleAskPeers();
}

void StoreSync::shutdown()
{
	m_closed = true;
	m_readTimer.cancel();
	m_watchTimer.cancel();
	m_peerTimer.cancel();
	m_reader->close();
	m_relaysReader->close();
	m_watchChannel->close();
	if (m_peerChannel)
	{
		m_peerChannel->close();
	}
	if (m_relayChannel)
	{
		m_relayChannel->close();
	}
}

void StoreSync::refresh()
{
	const Micros now = monotonicNow();
	if (m_closed || now - m_lastRefresh < kMinRefreshInterval)
	{
		return;
	}
	m_lastRefresh = now;
	if (m_reading)
	{
		m_readAgain = true;
		return;
	}
	m_reading = true;
	m_readTimer.cancel();
	readFromRelayOrStore();
}

void StoreSync::scheduleRead(Micros _span)
{
	after(m_readTimer, m_context.jittered(_span), [self = shared_from_this()] { self->read(); });
}

void StoreSync::read()
{
	if (m_reading || m_closed)
	{
		return;
	}
	const Micros age = monotonicNow() - m_context.content.confirmed;
	if (age < kRelayInterval && relayToAsk())
	{
		after(m_readTimer, std::max(kMinCheckInterval, kRelayInterval - age),
			  [self = shared_from_this()] { self->read(); });
		return;
	}
	m_reading = true;
	m_readTimer.cancel();
	readFromRelayOrStore();
}

std::optional<std::string> StoreSync::relayToAsk() const
{
	const bool mayAsk = m_context.settings.control && !m_context.holdsDuties && m_context.content.revision != 0;
	return mayAsk ? m_context.relays.relay(monotonicNow()) : std::nullopt;
}

void StoreSync::readFromRelayOrStore()
{
	if (m_context.content.revision == 0)
	{
		continueStart();
		return;
	}
	if (const auto relay = relayToAsk())
	{
		askRelay(*relay);
		return;
	}
	readStore();
}

std::optional<StoreContent> StoreSync::freshContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer)
{
	std::optional<StoreContent> content;
	if (_answer && _answer->status == kOk)
	{
		content = decodeContent(_answer->body, _requestedAt);
	}
	const bool fresh = content && _requestedAt - content->confirmed <= kMaxRelayContentAge;
	return fresh ? std::move(content) : std::nullopt;
}

void StoreSync::setRelayChannel(const std::string& _host)
{
	if (m_relayChannel && m_relayHost == _host)
	{
		return;
	}
	if (m_relayChannel)
	{
		m_relayChannel->close();
	}
	const Address address{_host, m_context.settings.control->port};
	m_relayChannel = std::make_shared<HttpChannel>(m_context.loop, address, limits::kSnapshotBytes);
	m_relayHost = _host;
}

void StoreSync::askRelay(const std::string& _host)
{
	setRelayChannel(_host);
	ChannelRequest request;
	request.target = std::string(kUpdatePath) + std::to_string(m_context.content.revision);
	request.maxDuration = kReadIdleTimeout;
	const Micros requestedAt = monotonicNow();
	m_relayChannel->call(std::move(request), kRelayTimeout,
						 [self = shared_from_this(), requestedAt](const std::optional<HttpAnswer>& _answer)
						 {
							 if (!self->m_closed)
							 {
								 self->onRelayAnswer(requestedAt, _answer);
							 }
						 });
}

void StoreSync::onRelayAnswer(Micros _requestedAt, const std::optional<HttpAnswer>& _answer)
{
	recordRelayAnswer(_answer.has_value());
	const bool tooOld = _answer && _answer->status == kNotFound;
	const auto update = _answer && _answer->status == kOk ? decodeUpdate(_answer->body) : std::nullopt;
	if (tooOld || (update && update->age <= kMaxRelayContentAge && !acceptUpdate(_requestedAt, *update)))
	{
		askRelayForContent();
		return;
	}
	m_reading = false;
	if (!update)
	{
		m_context.relays.onFailed(m_relayHost, monotonicNow());
		scheduleRead(kNextRelayDelay);
		return;
	}
	if (update->age > kMaxRelayContentAge)
	{
		// If the store is down for all, each gateway would otherwise read it for itself. All but the first of each
		// data centre ask the relays one after the other first, so that few reach the store when it comes back.
		m_context.relays.onStale(m_relayHost, monotonicNow());
		scheduleRead(kNextRelayDelay);
		return;
	}
	scheduleRelay();
}

void StoreSync::scheduleRelay()
{
	onStoreReached(m_context.content.revision);
	const Micros pause = m_readAgain ? kNextRelayDelay : kRelayInterval;
	m_readAgain = false;
	after(m_readTimer, pause, [self = shared_from_this()] { self->read(); });
}

void StoreSync::askRelayForContent()
{
	ChannelRequest request;
	request.target = std::string(kContentPath);
	request.maxDuration = kReadIdleTimeout;
	const Micros requestedAt = monotonicNow();
	m_relayChannel->call(std::move(request), kRelayTimeout,
						 [self = shared_from_this(), requestedAt](const std::optional<HttpAnswer>& _answer)
						 {
							 if (!self->m_closed)
							 {
								 self->onRelayContent(requestedAt, _answer);
							 }
						 });
}

void StoreSync::recordRelayAnswer(bool _answered)
{
	if (_answered)
	{
		m_context.relayAnswered = monotonicNow();
	}
}

void StoreSync::onRelayContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer)
{
	recordRelayAnswer(_answer.has_value());
	std::optional<StoreContent> content = freshContent(_requestedAt, _answer);
	if (!content || content->revision < m_context.content.revision)
	{
		// The relay has just started or is behind, so the store itself must be read.
		readStore();
		return;
	}
	m_reading = false;
	apply(std::move(*content), true);
	scheduleRelay();
}

void StoreSync::onStoreReached(std::uint64_t _revision)
{
	m_failures = 0;
	if (!m_storeReached)
	{
		m_storeReached = true;
		logEvent(LogLevel::Info, "store-regained", {{"revision", StoreRevision::text(_revision)}});
	}
}

bool StoreSync::acceptUpdate(Micros _requestedAt, const ContentUpdate& _update)
{
	const auto& config = m_context.directory.config();
	if (config && config->version == _update.configVersion)
	{
		m_context.directory.confirm(_requestedAt - _update.age);
	}
	const bool applicable =
		_update.since == m_context.content.revision || _update.revision <= m_context.content.revision;
	const bool configLeftOut = std::any_of(
		_update.leftOut.begin(), _update.leftOut.end(),
		[this](const KvItem& _item) { return platform::isConfig(_item) && _item.revision != m_parsedRevision; });
	if (!applicable || configLeftOut)
	{
		return false;
	}
	if (_update.revision <= m_context.content.revision)
	{
		confirmUnchanged(_update.revision, _requestedAt - _update.age);
		return true;
	}
	applyChanges(_update, _requestedAt - _update.age);
	return true;
}

void StoreSync::confirmConfig(Micros _confirmed)
{
	const auto& config = m_context.directory.config();
	if (!config || !m_parsedConfig || m_parsedConfig->version >= config->version)
	{
		m_context.directory.confirm(_confirmed);
	}
}

void StoreSync::confirmUnchanged(std::uint64_t _revision, Micros _confirmed)
{
	if (_revision == m_context.content.revision)
	{
		m_context.content.confirmed = std::max(m_context.content.confirmed, _confirmed);
		m_context.directory.confirmList(_confirmed);
	}
}

void StoreSync::readStore()
{
	m_readAgain = false;
	if (!m_context.mayReadStore(monotonicNow()))
	{
		// The relays are asked again; those that may read the store will have newer content soon.
		m_reading = false;
		scheduleRead(kRetryMin);
		return;
	}
	m_reader->read(
		m_context.storeReachability.readTimeout(kReadIdleTimeout),
		[self = shared_from_this()](std::optional<StoreContent> _content) { self->onRead(std::move(_content)); },
		[self = shared_from_this()]
		{ return self->m_context.content.revision != 0 || self->m_startPlan.mayReadLargeContent(monotonicNow()); });
}

void StoreSync::onRead(std::optional<StoreContent> _content)
{
	if (!_content && m_reader->endedEarly())
	{
		m_reading = false;
		scheduleRead(kNextRelayDelay);
		return;
	}
	if (!_content)
	{
		onReadFailed();
		return;
	}
	m_reading = false;
	onStoreReached(_content->revision);
	apply(std::move(*_content), false);
	if (!m_watching)
	{
		watch();
	}
	if (m_readAgain)
	{
		m_reading = true;
		readStore();
		return;
	}
	scheduleRead(kReadInterval);
}

void StoreSync::onReadFailed()
{
	m_reading = false;
	++m_failures;
	if (m_storeReached)
	{
		m_storeReached = false;
		logEvent(LogLevel::Warning, "store-lost",
				 {{"cause", std::string(toString(m_reader->fault()))},
				  {"revision", StoreRevision::text(m_context.directory.revision())},
				  {"config_age_ms", std::to_string(m_context.directory.age(monotonicNow()) / kMillisecond)}});
	}
	scheduleRead(std::min<Micros>(kRetryMin << std::min(m_failures, 4u), kRetryMax));
}

void StoreSync::watch()
{
	// The store charges a watch for each event, so only one gateway watches, and only the configuration: watching
	// everything cost some 300 more calls in a run of 66 s with 18 gateways. The other gateways learn of the
	// change by gossip.
	if (m_closed || !m_context.holdsDuties)
	{
		return;
	}
	m_watching = true;
	ChannelRequest request = platform::watchCall(platform::configKey(), m_context.directory.revision(), kWatchSpan);
	request.maxDuration = kWatchTimeout + kMaxReadDuration;
	m_context.traffic.onStoreCall(StorePurpose::Watch);
	m_watchChannel->call(std::move(request), kWatchTimeout,
						 [self = shared_from_this()](const std::optional<HttpAnswer>& _answer)
						 {
							 if (!self->m_closed)
							 {
								 self->onWatch(_answer);
							 }
						 });
}

void StoreSync::onWatch(const std::optional<HttpAnswer>& _answer)
{
	m_watching = false;
	noteStoreEra(m_context, _answer);
	const std::optional<KvEvents> events = platform::readWatch(_answer);
	if (!events)
	{
		after(m_watchTimer, m_context.jittered(kWatchRetry),
			  [self = shared_from_this()]
			  {
				  if (!self->m_watching)
				  {
					  self->watch();
				  }
			  });
		return;
	}
	if (events->historyLost || !events->items.empty())
	{
		// An event does not prove that nothing else changed. The read that follows delivers all changes, and
		// starts the next watch from its own revision.
		refresh();
		return;
	}
	watch();
}

void StoreSync::onPeerContentState(std::uint64_t _fingerprint, Micros _confirmed)
{
	if (m_context.content.revision != 0 && _fingerprint == m_context.contentFingerprint)
	{
		if (monotonicNow() - _confirmed < kMaxRelayContentAge)
		{
			onStoreReached(m_context.content.revision);
		}
		m_context.content.confirmed = std::max(m_context.content.confirmed, _confirmed);
		confirmConfig(_confirmed);
		m_context.directory.confirmList(_confirmed);
		return;
	}
	if (_confirmed > m_context.content.confirmed)
	{
		refresh();
	}
}

} // namespace beacongate
