// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the directory in step with the store: one gateway of each data centre reads the store for the others,
/// each reads it itself if that one fails, and asks other gateways if the store is unreachable.

#ifndef BEACONGATE_GATEWAY_STORESYNC_H
#define BEACONGATE_GATEWAY_STORESYNC_H

#include "coordination/startplan.h"
#include "gateway/bodycache.h"
#include "gateway/gatewaycontext.h"
#include "gateway/rangereader.h"
#include "transport/httpchannel.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace beacongate
{
/// Reads the whole store periodically, or asks the gateway of its data centre that does. Only a read proves that a
/// configuration is the newest. A watch only triggers an early read, since a watch that delivers nothing may be
/// cut off.
class StoreSync : public std::enable_shared_from_this<StoreSync>
{
public:
	explicit StoreSync(GatewayContext& _context);

	/// Starts the periodic reads.
	void init();

	/// Ends all calls.
	void shutdown();

	/// @returns the whole content for a peer that cannot reach the store, as MessagePack; empty if there is none.
	std::string fullContent();

	/// @returns what changed since a revision, as MessagePack; empty if the history does not cover it.
	std::string contentSince(std::uint64_t _revision);

	/// Asks the relay or reads the store at once, or as soon as the current read has ended.
	void refresh();

	/// Handles a peer's statement of the content that it holds.
	/// @param[in] _fingerprint Fingerprint of the peer's content.
	/// @param[in] _confirmed When that content was certainly the newest.
	void onPeerContentState(std::uint64_t _fingerprint, Micros _confirmed);

private:
	void scheduleRead(Micros _span);
	void read();
	/// @returns the gateway to ask instead of the store; nothing if this one reads the store itself.
	std::optional<std::string> relayToAsk() const;
	void readFromRelayOrStore();
	/// Takes the next step to the first content.
	void continueStart();
	void readRelays();
	void askForFirstContent(const std::string& _host);
	/// @returns the content of a relay's answer; nothing if there is none, or if it is too old.
	static std::optional<StoreContent> freshContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer);
	void setRelayChannel(const std::string& _host);
	void askRelay(const std::string& _host);
	void onRelayAnswer(Micros _requestedAt, const std::optional<HttpAnswer>& _answer);
	/// Asks the relay for its whole content. It is used if an update is not possible: the relay's history does not
	/// reach back to this gateway's revision, or the update omits a large value.
	void askRelayForContent();
	void onRelayContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer);
	void scheduleRelay();
	void recordRelayAnswer(bool _answered);
	/// Records that this gateway, or one that it asked, had an answer of the store recently.
	void onStoreReached(std::uint64_t _revision);
	/// Notes that the configuration in the content was the store's newest. It may be older than the one in force,
	/// after the store was restored from a copy.
	void confirmConfig(Micros _confirmed);
	void confirmUnchanged(std::uint64_t _revision, Micros _confirmed);
	bool acceptUpdate(Micros _requestedAt, const ContentUpdate& _update);
	void readStore();
	void onRead(std::optional<StoreContent> _content);
	void onReadFailed();
	void watch();
	void onWatch(const std::optional<HttpAnswer>& _answer);
	/// Replaces the content.
	void apply(StoreContent _content, bool _fromPeer);
	/// Updates the content in place, and what depends on the parts that changed. A gateway of a large fleet gets
	/// several updates a second, most of which concern few of the thousands of items.
	void applyChanges(const ContentUpdate& _update, Micros _confirmed);
	void adoptMembers();
	void loadBookkeeping(const StoreContent& _content);
	/// @returns the configuration in some content; nullptr if there is none.
	RoutingConfigPtr configIn(const StoreContent& _content);
	void onBackendsApplied();
	void onApplied(bool _newConfig, bool _fromPeer, Micros _now);
	RoutingConfigPtr parseConfig(const KvItem& _item);
	void askPeers();
	void askPeer(const std::string& _host, bool _fullContent);
	void onPeerUpdate(Micros _requestedAt, const std::string& _host, const std::optional<HttpAnswer>& _answer);
	void onPeerContent(Micros _requestedAt, const std::optional<HttpAnswer>& _answer);
	/// @returns true if an update may carry the value of an item that is large before its compression.
	bool mayCarry(const KvItem& _item);
	void loadQuotaLevels(const KvItem& _item);
	void loadUsageCounts(const KvItem& _item);
	void scheduleAskPeers();

	GatewayContext& m_context;
	StartPlan m_startPlan;
	std::shared_ptr<RangeReader> m_reader;
	std::shared_ptr<RangeReader> m_relaysReader; ///< Reads the names of relays during a start.
	std::shared_ptr<HttpChannel> m_watchChannel;
	std::shared_ptr<HttpChannel> m_peerChannel;
	std::shared_ptr<HttpChannel> m_relayChannel;
	std::string m_relayHost; ///< Host to which m_relayChannel connects.
	boost::asio::steady_timer m_readTimer;
	boost::asio::steady_timer m_watchTimer;
	boost::asio::steady_timer m_peerTimer;
	bool m_reading = false;
	bool m_readAgain = false;
	Micros m_lastRefresh = kLongAgo;
	bool m_watching = false;
	bool m_closed = false;
	bool m_storeReached = true; ///< The last read, by this gateway or by one that it asked, was answered.
	unsigned m_failures = 0;
	std::uint64_t m_parsedRevision = 0;
	RoutingConfigPtr m_parsedConfig;
	std::uint64_t m_rejectedRevision = 0;
	std::uint64_t m_countsRevision = 0;
	BodyCache m_bodyCache;
	/// Whether the compressed value of a key is small enough for an update, with the revision of that value.
	std::map<std::string, std::pair<std::uint64_t, bool>> m_carried;
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STORESYNC_H
