// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the directory as new as the store: by one reader in each data centre, by reads of its own where that one
/// fails, and by other gateways where the store is out of reach.

#ifndef BEACONGATE_GATEWAY_STORESYNC_H
#define BEACONGATE_GATEWAY_STORESYNC_H

#include "gateway/bodycache.h"
#include "gateway/gatewaycontext.h"
#include "gateway/rangereader.h"
#include "transport/httpchannel.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace beacongate
{
/// Reads the whole store again and again, or asks the gateway of its data centre that does. A read is the only
/// proof that a configuration is the newest; a watch only says when to read early, since one that hears nothing may
/// be cut off.
class StoreSync : public std::enable_shared_from_this<StoreSync>
{
public:
	explicit StoreSync(GatewayContext& _context);

	/// Begins to read.
	void init();

	/// Ends all calls.
	void shutdown();

	/// @returns what a peer gets that cannot reach the store, as MessagePack; empty where there is nothing.
	std::string wholeContent();

	/// @returns what changed since a revision, as MessagePack; empty where that is not known.
	std::string contentSince(std::uint64_t _revision);

	/// Asks the relay or reads at once, or as soon as the read that runs has ended.
	void refresh();

	/// A peer holds content with this fingerprint, which was certainly the newest at a moment.
	void onPeerHolds(std::uint64_t _fingerprint, Micros _confirmed);

private:
	void scheduleRead(Micros _span);
	void read();
	/// @returns the gateway to ask in place of the store; nothing where this one reads itself.
	std::optional<std::string> relayToAsk() const;
	void readOrAsk();
	void askRelay(const std::string& _host);
	void onRelayAnswer(Micros _asked, const std::optional<HttpAnswer>& _answer);
	/// Asks the relay for all that it has, where an update cannot lead there: it has not kept what went since this
	/// gateway's revision, or it leaves out a large value.
	void askRelayForAll();
	void onRelayContent(Micros _asked, const std::optional<HttpAnswer>& _answer);
	void scheduleRelay();
	void noteRelay(bool _answered);
	/// This gateway, or one that it asked, got an answer of the store lately.
	void onStoreReached(std::uint64_t _revision);
	void confirmUnchanged(std::uint64_t _revision, Micros _confirmed);
	bool takeUpdate(Micros _asked, const ContentUpdate& _update);
	void readStore();
	void onRead(std::optional<StoreContent> _content);
	void onReadFailed();
	void watch();
	void onWatch(const std::optional<HttpAnswer>& _answer);
	void apply(StoreContent _content, bool _fromPeer);
	RoutingConfigPtr configOf(const KvItem& _item);
	void learnFromPeers();
	void askPeer(const std::string& _host, bool _whole);
	void onPeerUpdate(Micros _asked, const std::string& _host, const std::optional<HttpAnswer>& _answer);
	void onPeerContent(Micros _asked, const std::optional<HttpAnswer>& _answer);
	void learnLevels(const KvItem& _item);
	void learnCounts(const KvItem& _item);
	void schedulePeers();

	GatewayContext& m_context;
	std::shared_ptr<RangeReader> m_reads;
	std::shared_ptr<HttpChannel> m_watches;
	std::shared_ptr<HttpChannel> m_peerChannel;
	std::shared_ptr<HttpChannel> m_relayChannel;
	std::string m_relayHost; ///< That m_relayChannel leads to.
	boost::asio::steady_timer m_readTimer;
	boost::asio::steady_timer m_watchTimer;
	boost::asio::steady_timer m_peerTimer;
	bool m_reading = false;
	bool m_readAgain = false;
	Micros m_lastNews = kLongAgo;
	bool m_watching = false;
	bool m_closed = false;
	bool m_storeReached = true; ///< The last read, of this gateway or of one that it asked, was answered.
	unsigned m_failures = 0;
	std::uint64_t m_parsedRevision = 0;
	RoutingConfigPtr m_parsed;
	std::uint64_t m_rejectedRevision = 0;
	std::uint64_t m_countsRevision = 0;
	BodyCache m_bodies;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STORESYNC_H
