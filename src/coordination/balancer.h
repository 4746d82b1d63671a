// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the backend server for a request by this gateway's load, its peers' loads and cached prompts.

#ifndef BEACONGATE_COORDINATION_BALANCER_H
#define BEACONGATE_COORDINATION_BALANCER_H

#include "coordination/directory.h"
#include "coordination/load/serverspeeds.h"

#include <algorithm>
#include <cstdint>
#include <functional>
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

/// Work that a request brings to the backend server that runs it.
struct PlacementRequest
{
	std::uint64_t promptTokens = 0; ///< 0 for calls of plain services.
	std::vector<PromptPart> parts;  ///< In order; the last one belongs to this request alone.
	/// Prefill speed of an engine of the service, in tokens per millisecond; see EngineModel.
	double tokensPerMilli = 60.0;
	/// Backend servers are compared by the estimated time to the first event, and differ in speed.
	bool byEstimate = false;
	/// Prompt tokens that the chosen backend server is expected to read; used if byEstimate is set.
	std::uint64_t expectedTokens = 0;
	/// The request occupies a slot of its backend server until its first event only, see SlotRules. Must not change
	/// while the request is in flight.
	bool freesSlotAtFirstEvent = false;

	/// @returns the tokens that count as pending at the backend server until the first event.
	std::uint64_t pendingTokens() const
	{
		return byEstimate ? expectedTokens : promptTokens;
	}

	/// @returns the prompt tokens that another request may have left in a cache.
	std::uint64_t sharedTokens() const;

	/// @returns the prompt tokens that need a prefill in any case.
	std::uint64_t ownTokens() const
	{
		return promptTokens - std::min(promptTokens, sharedTokens());
	}
};

/// Requests that one gateway has in flight at one backend server.
struct BackendLoad
{
	BackendKey key;
	unsigned inFlight = 0;
	std::uint64_t pendingTokens = 0; ///< Prompt tokens of requests without a first event.
};

/// Result of a choice.
struct Placement
{
	const KnownBackend* backend = nullptr;
	double cost = 0.0;                ///< Estimated milliseconds until the first event.
	bool full = false;                ///< All its slots are taken, as far as is known.
	std::uint64_t expectedTokens = 0; ///< Prompt tokens that it is expected to read, if placed by estimate.
};

/// Tracks the load and health of backend servers and chooses one for each request.
class Balancer
{
public:
	/// Where few gateways place requests, up to this many backend servers are all compared for a request: the
	/// load reports of the gateways are 0.15 s old, and few requests are placed by the same report.
	static constexpr std::size_t kFullScanLimit = 32;
	/// Number of backend servers that are drawn at random for each request from a larger set, in addition to
	/// the preferred one. Gateways of a large fleet place hundreds of requests by the same load reports; if all
	/// of them compared all servers, they would all send to the few that looked idle. Of 6,000 requests at half
	/// load, engines rejected 4,645 where all were compared, 710 with four drawn and 101 with two (60 gateways,
	/// 100 engines, loads reported every 0.5 s; balancertest). Many gateways also draw from few servers: with
	/// 20 engines left for 78 gateways after a reclaim, all sent to those that had just started (balancertest:
	/// 4,451 of 6,000 rejected, 88 with two drawn).
	static constexpr std::size_t kSampleSize = 2;

	/// @param[in] _dataCentre Data centre of this gateway; its backend servers win ties.
	/// @param[in] _seed Seed of the random draws; gateways should have different ones.
	/// @param[in] _speeds Speeds of the backend servers; nullptr if all count as alike.
	explicit Balancer(std::string _dataCentre, std::uint32_t _seed = 1, const ServerSpeeds* _speeds = nullptr)
		: m_dataCentre(std::move(_dataCentre)), m_random(_seed), m_speeds(_speeds)
	{
	}

	/// Chooses one of the candidates.
	/// @param[in] _excluded Ids of backend servers that the request was sent to before.
	/// @returns the choice; its backend is nullptr if no candidate is left.
	Placement choose(const std::vector<const KnownBackend*>& _candidates, const PlacementRequest& _request,
					 const std::vector<std::string>& _excluded, Micros _now);

	/// Notes that a request was sent.
	void onSent(BackendKey _key, const PlacementRequest& _request);

	/// Notes that the first event of a request, or its answer, arrived.
	void onFirstEvent(BackendKey _key, const PlacementRequest& _request);

	/// Notes that the attempt ended.
	/// @param[in] _hadFirstEvent True if onFirstEvent() was called for it.
	void onEnded(BackendKey _key, const PlacementRequest& _request, bool _hadFirstEvent);

	/// Notes that an attempt succeeded, or failed for a reason that lies with the backend server.
	void onOutcome(BackendKey _key, bool _succeeded, Micros _now);

	/// Replaces the load that a peer reported.
	void setPeerLoads(const std::string& _peer, std::vector<BackendLoad> _loads, Micros _now);

	/// Sets for how long the load that a peer reported counts after it was received.
	void setPeerLoadLifetime(Micros _life)
	{
		m_peerLoadLifetime = _life;
	}

	/// Sets whether the fleet is so large that hundreds of requests are placed by the same load reports.
	void setManyGateways(bool _many)
	{
		m_manyGateways = _many;
	}

	/// Removes the loads of peers that sent no report recently. Must be called several times a second.
	void expirePeerLoads(Micros _now);

	/// @returns this gateway's own load, to be reported to its peers.
	std::vector<BackendLoad> ownLoads() const;

	/// @returns the requests that this gateway has in flight at a backend server.
	unsigned ownInFlight(BackendKey _key) const;

	/// @returns the requests of this gateway that occupy a slot which is granted: prompts with prompt slots only
	/// until their first event, all others until their end.
	unsigned ownOccupying(BackendKey _key) const;

	/// @returns the requests that all gateways have in flight at a backend server.
	unsigned totalInFlight(BackendKey _key) const;

	/// Removes backend servers that are no longer known.
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
		Micros receivedAt = 0;
		std::vector<BackendLoad> loads;
	};

	using Loads = std::unordered_map<BackendKey, BackendLoad, BackendKeyHash>;

	bool ejected(BackendKey _key, Micros _now) const;
	BackendLoad totalLoad(BackendKey _key) const;
	double slowdownOf(BackendKey _key, Micros _now) const;
	/// @returns the candidates that the request was not sent to, without those that are ejected; with them if these
	/// are more than half.
	std::vector<const KnownBackend*> poolOf(const std::vector<const KnownBackend*>& _candidates,
											const std::vector<std::string>& _excluded, Micros _now) const;
	/// @returns the backend server that is most likely to hold the shared parts of a prompt, or nullptr.
	static const KnownBackend* preferredOf(const std::vector<const KnownBackend*>& _pool,
										   const PlacementRequest& _request);
	/// @returns the estimate for one backend server.
	Placement estimate(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
					   Micros _now) const;
	/// Draws the index of a backend server, from _first on, with a weight that is the inverse of its slowdown.
	std::size_t drawBySpeed(const std::vector<const KnownBackend*>& _pool, std::size_t _first);
	/// Reduces a large pool to a few backend servers drawn at random and the preferred one.
	void sampleCandidates(std::vector<const KnownBackend*>& _pool, const KnownBackend* _preferred, bool _bySpeed);
	double costOf(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
				  Micros _now) const;
	void removePending(BackendKey _key, const PlacementRequest& _request);
	void removeFromTotals(const std::vector<BackendLoad>& _loads);

	std::string m_dataCentre;
	std::minstd_rand m_random;
	const ServerSpeeds* m_speeds;
	Micros m_peerLoadLifetime = kSecond;
	bool m_manyGateways = false;
	Loads m_own;
	/// Own requests in flight that have freed their slot at their first event.
	std::unordered_map<BackendKey, unsigned, BackendKeyHash> m_generating;
	std::unordered_map<BackendKey, Health, BackendKeyHash> m_health;
	std::map<std::string, PeerLoads> m_peers;
	Loads m_peerTotals; ///< Sums of m_peers by backend server.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BALANCER_H
