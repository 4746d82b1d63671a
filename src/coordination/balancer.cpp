// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/balancer.h"

#include <xxhash.h>

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr double kRereadWeight = 4.0;    ///< A shared part that is read again also delays all others there, and
										 ///< drives out what they share. Measured: docs/POLICY.md, round 4.
constexpr double kRunningMillis = 0.4;   ///< Added for each request that already runs at an engine.
constexpr double kPlainMillis = 10.0;    ///< Added for each call that already runs at a plain service.
constexpr double kFullMillis = 500.0;    ///< Added where all slots are taken.
constexpr double kColdMillis = 50.0;     ///< Added while a backend server is slow from its start.
constexpr double kOtherZoneMillis = 0.5; ///< Added where the way is longer.
constexpr double kHealthDecay = 0.8;
constexpr double kEjectShare = 0.5;
constexpr unsigned kEjectSamples = 4;
constexpr unsigned kEjectConsecutive = 3;
constexpr Micros kEjectMin = 1500 * kMillisecond;
constexpr Micros kEjectMax = 6 * kSecond;

std::uint64_t rendezvousWeight(std::uint64_t part, const std::string& id)
{
	return XXH64(id.data(), id.size(), part);
}

/// The part that decides where a prompt is likely to be cached: the longest chain that others may share.
std::uint64_t affinityPart(const PlacementRequest& request)
{
	const std::size_t shared = request.parts.size() < 2 ? 0 : request.parts.size() - 2;
	return request.parts[shared].id;
}
} // namespace

std::uint64_t PlacementRequest::sharedTokens() const
{
	std::uint64_t tokens = 0;
	for (std::size_t index = 0; index + 1 < parts.size(); ++index)
	{
		tokens += parts[index].tokens;
	}
	return tokens;
}

Placement Balancer::choose(const std::vector<const KnownBackend*>& candidates, const PlacementRequest& request,
						   const std::vector<std::string>& excluded, Micros now)
{
	std::vector<const KnownBackend*> allowed;
	for (const KnownBackend* backend : candidates)
	{
		if (std::find(excluded.begin(), excluded.end(), backend->record.id) == excluded.end())
		{
			allowed.push_back(backend);
		}
	}
	std::vector<const KnownBackend*> healthy;
	std::copy_if(allowed.begin(), allowed.end(), std::back_inserter(healthy),
				 [&](const KnownBackend* backend) { return !ejected(backend->record.id, now); });
	// Where most look bad, the fault is more likely elsewhere: all are used.
	const std::vector<const KnownBackend*>& pool = healthy.size() * 2 >= allowed.size() ? healthy : allowed;
	const KnownBackend* preferred = nullptr;
	if (request.parts.size() > 1)
	{
		std::uint64_t best = 0;
		for (const KnownBackend* backend : pool)
		{
			const std::uint64_t weight = rendezvousWeight(affinityPart(request), backend->record.id);
			if (!preferred || weight > best)
			{
				preferred = backend;
				best = weight;
			}
		}
	}
	Placement placement;
	for (const KnownBackend* backend : pool)
	{
		const double cost = costOf(*backend, request, backend == preferred, now);
		if (!placement.backend || cost < placement.cost)
		{
			placement.backend = backend;
			placement.cost = cost;
		}
	}
	if (placement.backend)
	{
		const unsigned running = totalInFlight(placement.backend->record.id);
		placement.full = running >= placement.backend->record.slots;
	}
	return placement;
}

double Balancer::costOf(const KnownBackend& backend, const PlacementRequest& request, bool preferred,
						Micros now) const
{
	const BackendLoad load = totalLoad(backend.record.id);
	double cost = backend.record.dataCentre == m_dataCentre ? 0.0 : kOtherZoneMillis;
	cost += load.inFlight >= backend.record.slots ? kFullMillis : 0.0;
	cost += backend.coldUntil > now ? kColdMillis : 0.0;
	if (request.promptTokens == 0)
	{
		return cost + kPlainMillis * load.inFlight;
	}
	const std::uint64_t missing = preferred ? 0 : request.sharedTokens();
	cost += static_cast<double>(load.pendingTokens) / request.tokensPerMilli;
	cost += kRereadWeight * static_cast<double>(missing) / request.tokensPerMilli;
	cost += kRunningMillis * load.inFlight;
	return cost;
}

BackendLoad Balancer::totalLoad(const std::string& id) const
{
	BackendLoad total;
	for (const auto* loads : {&m_own, &m_peerTotals})
	{
		const auto it = loads->find(id);
		if (it != loads->end())
		{
			total.inFlight += it->second.inFlight;
			total.pendingTokens += it->second.pendingTokens;
		}
	}
	return total;
}

unsigned Balancer::totalInFlight(const std::string& id) const
{
	return totalLoad(id).inFlight;
}

void Balancer::onSent(const std::string& id, const PlacementRequest& request)
{
	BackendLoad& load = m_own[id];
	load.id = id;
	++load.inFlight;
	load.pendingTokens += request.promptTokens;
}

void Balancer::onFirstEvent(const std::string& id, const PlacementRequest& request)
{
	BackendLoad& load = m_own[id];
	load.pendingTokens -= std::min(load.pendingTokens, request.promptTokens);
}

void Balancer::onEnded(const std::string& id, const PlacementRequest& request, bool hadFirstEvent)
{
	if (!hadFirstEvent)
	{
		onFirstEvent(id, request);
	}
	BackendLoad& load = m_own[id];
	load.inFlight -= std::min(load.inFlight, 1u);
}

bool Balancer::ejected(const std::string& id, Micros now) const
{
	const auto it = m_health.find(id);
	return it != m_health.end() && it->second.ejectedUntil > now;
}

void Balancer::onOutcome(const std::string& id, bool succeeded, Micros now)
{
	Health& health = m_health[id];
	health.failureShare = health.failureShare * kHealthDecay + (succeeded ? 0.0 : 1.0 - kHealthDecay);
	++health.samples;
	health.consecutive = succeeded ? 0 : health.consecutive + 1;
	const bool manyFail = health.samples >= kEjectSamples && health.failureShare > kEjectShare;
	if (manyFail || health.consecutive >= kEjectConsecutive)
	{
		health.ejectSpan = std::clamp(health.ejectSpan * 2, kEjectMin, kEjectMax);
		health.ejectedUntil = now + health.ejectSpan;
		// One more failure after the span puts it out again, one success counts for it.
		health.consecutive = kEjectConsecutive - 1;
		health.samples = 0;
		health.failureShare = 0.0;
	}
	if (succeeded && now > health.ejectedUntil)
	{
		health.ejectSpan = 0;
	}
}

void Balancer::setPeerLoads(const std::string& peer, std::vector<BackendLoad> loads, Micros now)
{
	PeerLoads& known = m_peers[peer];
	removeFromTotals(known.loads);
	known = {now, std::move(loads)};
	for (const BackendLoad& load : known.loads)
	{
		BackendLoad& total = m_peerTotals[load.id];
		total.inFlight += load.inFlight;
		total.pendingTokens += load.pendingTokens;
	}
}

void Balancer::removeFromTotals(const std::vector<BackendLoad>& loads)
{
	for (const BackendLoad& load : loads)
	{
		const auto it = m_peerTotals.find(load.id);
		if (it == m_peerTotals.end())
		{
			continue; // A peer told of nothing there, and the sum was erased since.
		}
		it->second.inFlight -= load.inFlight;
		it->second.pendingTokens -= load.pendingTokens;
		if (it->second.inFlight == 0 && it->second.pendingTokens == 0)
		{
			m_peerTotals.erase(it);
		}
	}
}

void Balancer::expirePeerLoads(Micros now)
{
	for (auto it = m_peers.begin(); it != m_peers.end();)
	{
		const bool silent = now - it->second.heard > m_peerLoadLife;
		if (silent)
		{
			removeFromTotals(it->second.loads);
		}
		it = silent ? m_peers.erase(it) : std::next(it);
	}
}

std::vector<BackendLoad> Balancer::ownLoads() const
{
	std::vector<BackendLoad> loads;
	for (const auto& [id, load] : m_own)
	{
		if (load.inFlight > 0)
		{
			loads.push_back(load);
		}
	}
	return loads;
}

void Balancer::retain(const std::map<std::string, KnownBackend>& known)
{
	const auto gone = [&known](const auto& entry)
	{
		return !known.count(entry.first);
	};
	std::erase_if(m_health, gone);
	std::erase_if(m_own, [&](const auto& entry) { return gone(entry) && entry.second.inFlight == 0; });
}

} // namespace beacongate
