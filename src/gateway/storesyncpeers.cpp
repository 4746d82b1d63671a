// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of StoreSync that asks other gateways if neither the store nor a relay answers, and that provides
// content to them.

#include "daemon/logging.h"
#include "gateway/memberkeys.h"
#include "gateway/storesync.h"
#include "gateway/storesync_p.h"
#include "protocol/compression.h"
#include "protocol/contentcodec.h"

namespace beacongate
{
namespace
{
constexpr Micros kPeerInterval = 500 * kMillisecond;
constexpr Micros kPeerTimeout = 400 * kMillisecond;
constexpr Micros kAskPeersAfter = 1800 * kMillisecond; ///< Age of the content from which peers are asked.
} // namespace

void StoreSync::scheduleAskPeers()
{
	after(m_peerTimer, m_context.jittered(kPeerInterval), [self = shared_from_this()] { self->askPeers(); });
}

void StoreSync::askPeers()
{
	if (m_closed)
	{
		return;
	}
	const Micros now = monotonicNow();
	const auto control = m_context.settings.control;
	const bool waitsForRelays = m_context.content.revision == 0 && m_startPlan.waitsForRelays(now);
	if (!control || now - m_context.content.confirmed < kAskPeersAfter || waitsForRelays)
	{
		scheduleAskPeers();
		return;
	}
	std::optional<std::string> host = m_context.peers.newestConfigHost(m_context.content.confirmed, now);
	if (!host && !m_context.directory.config() && !m_context.settings.seeds.empty())
	{
		host = m_context.settings.seeds[m_context.random() % m_context.settings.seeds.size()].host;
	}
	if (!host || *host == m_context.settings.callers.host)
	{
		scheduleAskPeers();
		return;
	}
	askPeer(*host, m_context.content.revision == 0);
}

void StoreSync::askPeer(const std::string& _host, bool _fullContent)
{
	const Address address{_host, m_context.settings.control->port};
	m_peerChannel = std::make_shared<HttpChannel>(m_context.loop, address, limits::kSnapshotBytes);
	ChannelRequest request;
	request.target = _fullContent ? std::string(kContentPath)
								  : std::string(kUpdatePath) + std::to_string(m_context.content.revision);
	request.headers = {{"Connection", "close"}};
	request.maxDuration = kMaxReadDuration;
	const Micros requestedAt = monotonicNow();
	m_peerChannel->call(
		std::move(request), kPeerTimeout,
		[self = shared_from_this(), requestedAt, _host, _fullContent](const std::optional<HttpAnswer>& _answer)
		{
			if (self->m_closed)
			{
				return;
			}
			if (_fullContent)
			{
				self->scheduleAskPeers();
				self->onPeerContent(requestedAt, _answer);
				return;
			}
			self->onPeerUpdate(requestedAt, _host, _answer);
		});
}

void StoreSync::onPeerUpdate(Micros _requestedAt, const std::string& _host,
							 const std::optional<HttpAnswer>& _answer)
{
	const auto update = _answer && _answer->status == kOk ? decodeUpdate(_answer->body) : std::nullopt;
	const bool tooOld = _answer && _answer->status == kNotFound;
	if (tooOld || (update && !acceptUpdate(_requestedAt, *update)))
	{
		askPeer(_host, true);
		return;
	}
	scheduleAskPeers();
}

void StoreSync::onPeerContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer)
{
	if (!_answer || _answer->status != kOk)
	{
		return;
	}
	std::optional<StoreContent> content = decodeContent(_answer->body, _requestedAt);
	if (!content)
	{
		logEvent(LogLevel::Warning, "peer-content-refused", {});
		return;
	}
	if (content->revision == m_context.content.revision)
	{
		confirmConfig(content->confirmed);
		confirmUnchanged(content->revision, content->confirmed);
		return;
	}
	apply(std::move(*content), true);
}

std::string StoreSync::fullContent()
{
	const StoreContent& content = m_context.content;
	if (content.items.empty())
	{
		return "";
	}
	const std::string& body =
		m_bodyCache.body(0, content.revision, [&content] { return encodeContentBody(content); });
	return encodeContent(content.revision, monotonicNow() - content.confirmed, body);
}

bool StoreSync::mayCarry(const KvItem& _item)
{
	auto& [revision, carried] = m_carried[_item.key];
	if (revision != _item.revision)
	{
		revision = _item.revision;
		carried = compress(_item.value).size() <= ContentHistory::kValueBytes;
	}
	return carried;
}

std::string StoreSync::contentSince(std::uint64_t _revision)
{
	const StoreContent& content = m_context.content;
	if (!m_context.history.covers(_revision))
	{
		return "";
	}
	const UpdateFilter filter{[](const std::string& _key) { return isBookkeepingKey(_key) && _key != kFenceKey; },
							  [this](const KvItem& _item)
							  {
								  return mayCarry(_item);
							  }};
	const std::string& body = m_bodyCache.body(
		_revision, content.revision,
		[&] { return encodeUpdateBody(m_context.history.updateSince(content, _revision, filter)); });
	const std::uint64_t version = m_parsedConfig ? m_parsedConfig->version : 0;
	return encodeUpdate({_revision, content.revision, monotonicNow() - content.confirmed, version}, body);
}

} // namespace beacongate
