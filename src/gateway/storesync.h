// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the directory as new as the store: reads, watches, and other gateways where the store is out of reach.

#ifndef BEACONGATE_GATEWAY_STORESYNC_H
#define BEACONGATE_GATEWAY_STORESYNC_H

#include "gateway/gatewaycontext.h"
#include "transport/httpchannel.h"

#include <memory>
#include <string>

namespace beacongate
{
/// Reads the whole store again and again. A read is the only proof that a configuration is the newest; a watch only
/// says when to read early, since one that hears nothing may be cut off.
class StoreSync : public std::enable_shared_from_this<StoreSync>
{
public:
	explicit StoreSync(GatewayContext& context);

	/// Begins to read.
	void init();

	/// Ends all calls.
	void shutdown();

	/// @returns what a peer gets that cannot reach the store, as MessagePack; empty where there is nothing.
	std::string encodeContent() const;

	/// Reads at once, or as soon as the read that runs has ended.
	void refresh();

private:
	void scheduleRead(Micros span);
	void read();
	void readPage(const std::string& afterKey);
	void onPage(const std::optional<KvPage>& page);
	void finishRead();
	void onReadFailed();
	void watch();
	void onWatch(const std::optional<HttpAnswer>& answer);
	void applyEvents(const KvEvents& events);
	void apply(StoreContent content, bool fromPeer);
	RoutingConfigPtr configOf(const KvItem& item);
	void learnFromPeers();
	void onPeerContent(Micros sent, const std::optional<HttpAnswer>& answer);
	void learnCounts(const KvItem& item);
	void schedulePeers();

	GatewayContext& m_context;
	std::shared_ptr<HttpChannel> m_reads;
	std::shared_ptr<HttpChannel> m_watches;
	std::shared_ptr<HttpChannel> m_peerChannel;
	boost::asio::steady_timer m_readTimer;
	boost::asio::steady_timer m_watchTimer;
	boost::asio::steady_timer m_peerTimer;
	StoreContent m_incoming;
	Micros m_readSent = 0;
	bool m_reading = false;
	bool m_readAgain = false;
	Micros m_lastNews = kLongAgo;
	bool m_watching = false;
	bool m_storeReachable = true;
	bool m_closed = false;
	unsigned m_failures = 0;
	std::uint64_t m_parsedRevision = 0;
	RoutingConfigPtr m_parsed;
	std::uint64_t m_rejectedRevision = 0;
	std::uint64_t m_countsRevision = 0;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STORESYNC_H
