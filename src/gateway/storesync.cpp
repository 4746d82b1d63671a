// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/storesync.h"

#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "platform/documents.h"
#include "platform/storecalls.h"
#include "protocol/json.h"
#include "protocol/usagecodec.h"

#include <set>

namespace beacongate
{
namespace
{
constexpr Micros kReadInterval = 800 * kMillisecond; ///< Well within every bound on news.
constexpr Micros kNewsInterval = 200 * kMillisecond; ///< Between two early reads.
constexpr Micros kReadTimeout = 900 * kMillisecond;
constexpr Micros kRetryMin = 100 * kMillisecond;
constexpr Micros kRetryMax = 600 * kMillisecond;
constexpr Micros kWatchSpan = 5 * kSecond;
constexpr Micros kWatchTimeout = kWatchSpan + kSecond;
constexpr Micros kWatchRetry = 500 * kMillisecond;
constexpr Micros kPeerInterval = 300 * kMillisecond;
constexpr Micros kPeerTimeout = 400 * kMillisecond;
constexpr Micros kAskPeersAfter = 900 * kMillisecond; ///< Age of the configuration from which peers are asked.
constexpr const char* kContentPath = "/content";

template <typename Handler> void after(boost::asio::steady_timer& timer, Micros span, Handler handler)
{
	timer.expires_after(std::chrono::microseconds(span));
	timer.async_wait(
		[handler = std::move(handler)](const boost::system::error_code& error)
		{
			if (!error)
			{
				handler();
			}
		});
}
} // namespace

StoreSync::StoreSync(GatewayContext& context)
	: m_context(context),
	  m_reads(std::make_shared<HttpChannel>(context.loop, context.settings.store, limits::kSnapshotBytes)),
	  m_watches(std::make_shared<HttpChannel>(context.loop, context.settings.store, limits::kSnapshotBytes)),
	  m_readTimer(context.loop), m_watchTimer(context.loop), m_peerTimer(context.loop)
{
}

void StoreSync::init()
{
	read();
	schedulePeers();
}

void StoreSync::shutdown()
{
	m_closed = true;
	m_readTimer.cancel();
	m_watchTimer.cancel();
	m_peerTimer.cancel();
	m_reads->close();
	m_watches->close();
	if (m_peerChannel)
	{
		m_peerChannel->close();
	}
}

void StoreSync::refresh()
{
	const Micros now = monotonicNow();
	if (now - m_lastNews < kNewsInterval)
	{
		return;
	}
	m_lastNews = now;
	if (m_reading)
	{
		m_readAgain = true;
		return;
	}
	read();
}

void StoreSync::scheduleRead(Micros span)
{
	after(m_readTimer, m_context.jittered(span), [self = shared_from_this()] { self->read(); });
}

void StoreSync::read()
{
	if (m_reading || m_closed)
	{
		return;
	}
	m_reading = true;
	m_readAgain = false;
	m_readTimer.cancel();
	m_incoming = {};
	m_readSent = monotonicNow();
	readPage("");
}

void StoreSync::readPage(const std::string& afterKey)
{
	m_reads->call(platform::rangeCall("", afterKey), kReadTimeout,
				  [self = shared_from_this()](const std::optional<HttpAnswer>& answer)
				  {
					  if (!self->m_closed)
					  {
						  self->onPage(platform::readRange(answer));
					  }
				  });
}

void StoreSync::onPage(const std::optional<KvPage>& page)
{
	if (!page)
	{
		onReadFailed();
		return;
	}
	if (m_incoming.items.empty())
	{
		m_incoming.revision = page->revision;
	}
	for (const KvItem& item : page->items)
	{
		m_incoming.items[item.key] = item;
	}
	if (page->more && !page->items.empty())
	{
		readPage(page->items.back().key);
		return;
	}
	finishRead();
}

void StoreSync::finishRead()
{
	m_reading = false;
	m_failures = 0;
	if (!m_storeReachable)
	{
		m_storeReachable = true;
		logEvent(LogLevel::Info, "store-regained", {{"revision", std::to_string(m_incoming.revision)}});
	}
	m_incoming.confirmed = m_readSent;
	apply(std::move(m_incoming), false);
	m_incoming = {};
	if (!m_watching)
	{
		watch();
	}
	if (m_readAgain)
	{
		read();
		return;
	}
	scheduleRead(kReadInterval);
}

void StoreSync::onReadFailed()
{
	m_reading = false;
	++m_failures;
	if (m_storeReachable)
	{
		m_storeReachable = false;
		logEvent(LogLevel::Warning, "store-lost",
				 {{"revision", std::to_string(m_context.directory.revision())},
				  {"config_age_ms", std::to_string(m_context.directory.age(monotonicNow()) / kMillisecond)}});
	}
	scheduleRead(std::min<Micros>(kRetryMin << std::min(m_failures, 4u), kRetryMax));
}

void StoreSync::watch()
{
	// A watch is charged for each thing that it hears, so one gateway watches and the others hear of it by gossip.
	if (m_closed || !m_context.holdsDuties)
	{
		return;
	}
	m_watching = true;
	m_watches->call(platform::watchCall("", m_context.directory.revision(), kWatchSpan), kWatchTimeout,
					[self = shared_from_this()](const std::optional<HttpAnswer>& answer)
					{
						if (!self->m_closed)
						{
							self->onWatch(answer);
						}
					});
}

void StoreSync::onWatch(const std::optional<HttpAnswer>& answer)
{
	m_watching = false;
	const std::optional<KvEvents> events = platform::readWatch(answer);
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
	if (events->historyLost)
	{
		// The read that follows starts the next watch from its own revision.
		refresh();
		return;
	}
	applyEvents(*events);
	watch();
}

void StoreSync::applyEvents(const KvEvents& events)
{
	if (events.items.empty() || events.revision <= m_context.content.revision)
	{
		return;
	}
	StoreContent content = m_context.content;
	content.revision = events.revision;
	for (const KvItem& item : events.items)
	{
		if (item.revision == 0)
		{
			content.items.erase(item.key);
		}
		else
		{
			content.items[item.key] = item;
		}
	}
	// What was heard is news, but no proof that there is no other: the content counts as confirmed no later than
	// before.
	apply(std::move(content), false);
}

RoutingConfigPtr StoreSync::configOf(const KvItem& item)
{
	if (item.revision == m_parsedRevision || item.revision == m_rejectedRevision)
	{
		return m_parsed;
	}
	try
	{
		m_parsed = platform::readConfig(item.value);
		m_parsedRevision = item.revision;
	}
	catch (const std::exception& error)
	{
		m_rejectedRevision = item.revision;
		logEvent(LogLevel::Error, "config-refused",
				 {{"revision", std::to_string(item.revision)}, {"detail", error.what()}});
	}
	return m_parsed;
}

void StoreSync::apply(StoreContent content, bool fromPeer)
{
	const Micros now = monotonicNow();
	StoreSnapshot snapshot;
	snapshot.revision = content.revision;
	snapshot.confirmed = content.confirmed;
	std::set<std::string> members;
	for (const auto& [key, item] : content.items)
	{
		if (platform::isConfig(item))
		{
			snapshot.config = configOf(item);
		}
		else if (const auto id = platform::backendIdOf(item))
		{
			try
			{
				snapshot.backends.push_back(platform::readBackend(*id, item.value));
			}
			catch (const std::exception& error)
			{
				logEvent(LogLevel::Warning, "backend-refused", {{"backend", *id}, {"detail", error.what()}});
			}
		}
		else if (key == kCountsKey)
		{
			learnCounts(item);
		}
		else if (isMemberKey(key))
		{
			members.insert(item.value);
		}
	}
	if (content.revision < m_context.directory.revision())
	{
		return;
	}
	m_context.peers.setRegistered(std::move(members));
	if (m_context.directory.apply(snapshot, now))
	{
		m_context.quotas.setMembers(m_context.peers.memberCount(now));
		m_context.quotas.configure(*m_context.directory.config(), now);
		logEvent(LogLevel::Info, "config-in-force",
				 {{"version", std::to_string(m_context.directory.config()->version)},
				  {"revision", std::to_string(content.revision)},
				  {"from", fromPeer ? "peer" : "store"},
				  {"backends", std::to_string(snapshot.backends.size())}});
	}
	m_context.balancer.retain(m_context.directory.backends());
	m_context.content = std::move(content);
	if (m_context.onDirectoryChanged)
	{
		m_context.onDirectoryChanged();
	}
}

void StoreSync::learnCounts(const KvItem& item)
{
	if (item.revision == m_countsRevision)
	{
		return;
	}
	m_countsRevision = item.revision;
	for (const auto& [run, count] : decodeRunCounts(item.value))
	{
		m_context.usage.onReport(run, count);
	}
}

void StoreSync::schedulePeers()
{
	after(m_peerTimer, m_context.jittered(kPeerInterval), [self = shared_from_this()] { self->learnFromPeers(); });
}

void StoreSync::learnFromPeers()
{
	if (m_closed)
	{
		return;
	}
	const Micros now = monotonicNow();
	const auto control = m_context.settings.control;
	if (!control || m_context.directory.age(now) < kAskPeersAfter)
	{
		schedulePeers();
		return;
	}
	const Micros known = now - m_context.directory.age(now);
	std::optional<std::string> host = m_context.peers.freshestAfter(known, now);
	if (!host && !m_context.directory.config() && !m_context.settings.seeds.empty())
	{
		host = m_context.settings.seeds[m_context.random() % m_context.settings.seeds.size()].host;
	}
	if (!host || *host == m_context.settings.callers.host)
	{
		schedulePeers();
		return;
	}
	const Address address{*host, control->port};
	m_peerChannel = std::make_shared<HttpChannel>(m_context.loop, address, limits::kSnapshotBytes);
	ChannelRequest request;
	request.target = kContentPath;
	request.headers = {{"Connection", "close"}};
	m_peerChannel->call(std::move(request), kPeerTimeout,
						[self = shared_from_this(), now](const std::optional<HttpAnswer>& answer)
						{
							if (!self->m_closed)
							{
								self->onPeerContent(now, answer);
							}
						});
}

void StoreSync::onPeerContent(Micros sent, const std::optional<HttpAnswer>& answer)
{
	schedulePeers();
	if (!answer || answer->status != 200)
	{
		return;
	}
	const Json root = Json::from_msgpack(answer->body, true, false);
	if (!root.is_array() || root.size() != 3)
	{
		return;
	}
	try
	{
		StoreContent content;
		content.revision = root[0].get<std::uint64_t>();
		// The peer's age is counted to when it answered, which was after the question was sent.
		content.confirmed = sent - root[1].get<Micros>();
		for (const Json& entry : root[2])
		{
			KvItem item{entry.at(0).get<std::string>(), entry.at(1).get<std::string>(),
						entry.at(2).get<std::uint64_t>()};
			content.items[item.key] = std::move(item);
		}
		if (content.revision == m_context.directory.revision())
		{
			m_context.directory.confirm(content.confirmed);
			return;
		}
		apply(std::move(content), true);
	}
	catch (const Json::exception&)
	{
		logEvent(LogLevel::Warning, "peer-content-refused", {});
	}
}

std::string StoreSync::encodeContent() const
{
	if (m_context.content.items.empty())
	{
		return "";
	}
	Json items = Json::array();
	for (const auto& [key, item] : m_context.content.items)
	{
		items.push_back(Json::array({item.key, item.value, item.revision}));
	}
	std::string bytes;
	Json::to_msgpack(
		Json::array({m_context.content.revision, m_context.directory.age(monotonicNow()), std::move(items)}),
		bytes);
	return bytes;
}

} // namespace beacongate
