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
#include <string>
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
	std::string id;
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
	/// @param[in] dataCentre Where this gateway runs; it settles ties.
	explicit Balancer(std::string _dataCentre) : m_dataCentre(std::move(_dataCentre))
	{
	}

	/// Chooses among backend servers.
	/// @param[in] excluded Ids that the request was sent to before.
	Placement choose(const std::vector<const KnownBackend*>& _candidates, const PlacementRequest& _request,
					 const std::vector<std::string>& _excluded, Micros _now);

	/// A request was sent.
	void onSent(const std::string& _id, const PlacementRequest& _request);

	/// Its first event, or its answer, came.
	void onFirstEvent(const std::string& _id, const PlacementRequest& _request);

	/// Its attempt ended.
	/// @param[in] hadFirstEvent Whether onFirstEvent() was called for it.
	void onEnded(const std::string& _id, const PlacementRequest& _request, bool _hadFirstEvent);

	/// An attempt succeeded or failed for a reason that lies with the backend server.
	void onOutcome(const std::string& _id, bool _succeeded, Micros _now);

	/// Replaces what a peer says of its own load.
	void setPeerLoads(const std::string& _peer, std::vector<BackendLoad> _loads, Micros _now);

	/// What a peer said of its load is counted for this long after it was heard.
	void setPeerLoadLife(Micros _life)
	{
		m_peerLoadLife = _life;
	}

	/// Forgets what peers said that were not heard of late; to be called several times a second.
	void expirePeerLoads(Micros _now);

	/// @returns this gateway's own load, for its peers.
	std::vector<BackendLoad> ownLoads() const;

	/// @returns requests of all gateways at a backend server.
	unsigned totalInFlight(const std::string& _id) const;

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

	bool ejected(const std::string& _id, Micros _now) const;
	BackendLoad totalLoad(const std::string& _id) const;
	double costOf(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
				  Micros _now) const;
	void removeFromTotals(const std::vector<BackendLoad>& _loads);

	std::string m_dataCentre;
	Micros m_peerLoadLife = kSecond;
	std::map<std::string, BackendLoad> m_own;
	std::map<std::string, Health> m_health;
	std::map<std::string, PeerLoads> m_peers;
	std::map<std::string, BackendLoad> m_peerTotals; ///< Sums of m_peers by backend server.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BALANCER_H
