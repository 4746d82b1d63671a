// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the backend server for a request from this gateway's own load, that of its peers, and cached prompts.

#ifndef BEACONGATE_COORDINATION_BALANCER_H
#define BEACONGATE_COORDINATION_BALANCER_H

#include "coordination/directory.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// A part of a prompt that other requests may share.
struct PromptPart
{
	std::uint64_t id = 0;
	std::uint64_t tokens = 0;
};

/// What a request means for the backend server that runs it.
struct PlacementRequest
{
	std::uint64_t promptTokens = 0; ///< 0 for calls of plain services.
	std::vector<PromptPart> parts;  ///< In order; the last one belongs to this request alone.
	double tokensPerMilli = 60.0;   ///< Read by an engine of the service, see EngineModel.

	/// @returns tokens that another request may have left in a cache.
	std::uint64_t sharedTokens() const;

	/// @returns tokens that have to be read in any case.
	std::uint64_t ownTokens() const
	{
		return promptTokens - std::min(promptTokens, sharedTokens());
	}
};

/// What a gateway has sent to one backend server and not seen the end of.
struct BackendLoad
{
	BackendKey key;
	unsigned inFlight = 0;
	std::uint64_t pendingTokens = 0; ///< Prompt tokens of requests without a first event.
};

/// A choice.
struct Placement
{
	const KnownBackend* backend = nullptr;
	double cost = 0.0; ///< Expected milliseconds until the first event, as far as load goes.
	bool full = false; ///< All its slots are taken, as far as is known.
};

/// Loads, health and choice.
class Balancer
{
public:
	/// Up to so many backend servers are all weighed for a request where few gateways place: their word of each
	/// other is 0.15 s old, and few requests are placed by the same word.
	static constexpr std::size_t kWeighedAll = 32;
	/// Of more, so many are drawn for each request beside the preferred one. Gateways of a large fleet place
	/// hundreds of requests by the same word of loads; if all of them weighed all servers they would all send to
	/// the few that looked idle. Of 6,000 requests at half load, engines turned away 4,645 where all were weighed,
	/// 710 with four drawn and 101 with two (60 gateways, 100 engines, loads told every 0.5 s; balancertest). Many
	/// gateways draw also from few servers: after a reclaim, with 20 engines left before 78 gateways, all sent to
	/// those that had just started (balancertest: 4,451 of 6,000 turned away, 88 with two drawn).
	static constexpr std::size_t kDrawn = 2;

	/// @param[in] _dataCentre Where this gateway runs; it settles ties.
	/// @param[in] _seed For the draws; gateways should have different ones.
	explicit Balancer(std::string _dataCentre, std::uint32_t _seed = 1)
		: m_dataCentre(std::move(_dataCentre)), m_random(_seed)
	{
	}

	/// Chooses among backend servers.
	/// @param[in] excluded Ids that the request was sent to before.
	Placement choose(const std::vector<const KnownBackend*>& _candidates, const PlacementRequest& _request,
					 const std::vector<std::string>& _excluded, Micros _now);

	/// A request was sent.
	void onSent(BackendKey _key, const PlacementRequest& _request);

	/// Its first event, or its answer, came.
	void onFirstEvent(BackendKey _key, const PlacementRequest& _request);

	/// Its attempt ended.
	/// @param[in] hadFirstEvent Whether onFirstEvent() was called for it.
	void onEnded(BackendKey _key, const PlacementRequest& _request, bool _hadFirstEvent);

	/// An attempt succeeded or failed for a reason that lies with the backend server.
	void onOutcome(BackendKey _key, bool _succeeded, Micros _now);

	/// Replaces what a peer says of its own load.
	void setPeerLoads(const std::string& _peer, std::vector<BackendLoad> _loads, Micros _now);

	/// What a peer said of its load is counted for this long after it was heard.
	void setPeerLoadLifetime(Micros _life)
	{
		m_peerLoadLifetime = _life;
	}

	/// Sets whether so many gateways place that hundreds of requests are placed by the same word of loads.
	void setManyGateways(bool _many)
	{
		m_manyGateways = _many;
	}

	/// Forgets what peers said that were not heard of late; to be called several times a second.
	void expirePeerLoads(Micros _now);

	/// @returns this gateway's own load, for its peers.
	std::vector<BackendLoad> ownLoads() const;

	/// @returns requests of all gateways at a backend server.
	unsigned totalInFlight(BackendKey _key) const;

	/// Forgets backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	struct Health
	{
		double failureShare = 0.0;
		unsigned samples = 0;
		unsigned consecutive = 0;
		Micros ejectedUntil = 0;
		Micros ejectSpan = 0;
	};

	struct PeerLoads
	{
		Micros heard = 0;
		std::vector<BackendLoad> loads;
	};

	using Loads = std::unordered_map<BackendKey, BackendLoad, BackendKeyHash>;

	bool ejected(BackendKey _key, Micros _now) const;
	BackendLoad totalLoad(BackendKey _key) const;
	/// Leaves a few backend servers and the preferred one of many.
	void draw(std::vector<const KnownBackend*>& _pool, const KnownBackend* _preferred);
	double costOf(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
				  Micros _now) const;
	void removeFromTotals(const std::vector<BackendLoad>& _loads);

	std::string m_dataCentre;
	std::minstd_rand m_random;
	Micros m_peerLoadLifetime = kSecond;
	bool m_manyGateways = false;
	Loads m_own;
	std::unordered_map<BackendKey, Health, BackendKeyHash> m_health;
	std::map<std::string, PeerLoads> m_peers;
	Loads m_peerTotals; ///< Sums of m_peers by backend server.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BALANCER_H
