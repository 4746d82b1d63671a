// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/balancer.h"

#include <algorithm>
#include <set>

namespace beacongate
{
namespace
{
/// Weight of shared prompt tokens that are missing in a cache: their prefill also delays all other requests at
/// the engine and evicts the prefixes that those share. See docs/POLICY.md, round 4.
constexpr double kCacheMissWeight = 4.0;
constexpr double kInFlightMillis = 0.4;        ///< Cost of each request in flight at an engine.
constexpr double kPlainCallMillis = 10.0;      ///< Cost of each call in flight at a plain service.
constexpr double kFullMillis = 500.0;          ///< Cost of a backend server whose slots are all taken.
constexpr double kColdMillis = 50.0;           ///< Cost of a backend server that is slow after its start.
constexpr double kOtherDataCentreMillis = 0.5; ///< Cost of a backend server in another data centre.
/// Weight of the previous failure share when an outcome is added.
constexpr double kHealthDecay = 0.8;
/// Failure share above which a backend server is ejected.
constexpr double kEjectShare = 0.5;
/// Outcomes that the failure share needs before it counts.
constexpr unsigned kEjectSamples = 4;
/// Consecutive failures that eject a backend server.
constexpr unsigned kEjectConsecutive = 3;
/// Shortest ejection; each further one lasts twice as long, up to kEjectMax.
constexpr Micros kEjectMin = 1500 * kMillisecond;
constexpr Micros kEjectMax = 6 * kSecond;
/// Slowdown up to which a backend server that was drawn is always taken; slower ones are taken in inverse
/// proportion.
constexpr double kFastestDrawn = 0.5;

/// Finalizer of SplitMix64 over both values; the weights are evenly distributed even for ids that differ in one
/// bit.
std::uint64_t rendezvousWeight(std::uint64_t _part, BackendKey _key)
{
	std::uint64_t mixed = _part ^ (std::uint64_t{_key.value} * 0x9E3779B97F4A7C15U);
	mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9U;
	mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBU;
	return mixed ^ (mixed >> 31);
}

/// @returns the id that the preferred backend server is derived from: the longest prefix that other requests
/// may share.
std::uint64_t affinityPart(const PlacementRequest& _request)
{
	const std::size_t shared = _request.parts.size() < 2 ? 0 : _request.parts.size() - 2;
	return _request.parts[shared].id;
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

std::vector<const KnownBackend*> Balancer::poolOf(const std::vector<const KnownBackend*>& _candidates,
												  const std::vector<std::string>& _excluded, Micros _now) const
{
	std::vector<const KnownBackend*> allowed;
	allowed.reserve(_candidates.size());
	for (const KnownBackend* backend : _candidates)
	{
		if (std::find(_excluded.begin(), _excluded.end(), backend->record.id) == _excluded.end())
		{
			allowed.push_back(backend);
		}
	}
	std::vector<const KnownBackend*> healthy;
	std::copy_if(allowed.begin(), allowed.end(), std::back_inserter(healthy),
				 [&](const KnownBackend* _backend) { return !ejected(_backend->key, _now); });
	// If more than half are ejected, the fault is more likely elsewhere: all are used.
	return healthy.size() * 2 >= allowed.size() ? healthy : allowed;
}

const KnownBackend* Balancer::preferredOf(const std::vector<const KnownBackend*>& _pool,
										  const PlacementRequest& _request)
{
	const KnownBackend* preferred = nullptr;
	if (_request.parts.size() > 1)
	{
		const std::uint64_t part = affinityPart(_request);
		std::uint64_t best = 0;
		for (const KnownBackend* backend : _pool)
		{
			const std::uint64_t weight = rendezvousWeight(part, backend->key);
			if (!preferred || weight > best)
			{
				preferred = backend;
				best = weight;
			}
		}
	}
	return preferred;
}

Placement Balancer::choose(const std::vector<const KnownBackend*>& _candidates, const PlacementRequest& _request,
						   const std::vector<std::string>& _excluded, Micros _now)
{
	std::vector<const KnownBackend*> pool = poolOf(_candidates, _excluded, _now);
	const KnownBackend* preferred = preferredOf(pool, _request);
	sampleCandidates(pool, preferred, _request.byEstimate);
	Placement placement;
	for (const KnownBackend* backend : pool)
	{
		Placement other =
			_request.byEstimate ? estimate(*backend, _request, backend == preferred, _now) : Placement();
		other.backend = backend;
		other.cost = _request.byEstimate ? other.cost : costOf(*backend, _request, backend == preferred, _now);
		if (!placement.backend || other.cost < placement.cost)
		{
			placement = other;
		}
	}
	if (placement.backend)
	{
		const unsigned running = totalLoad(placement.backend->key).inFlight;
		placement.full = running >= placement.backend->record.slots;
	}
	return placement;
}

double Balancer::slowdownOf(BackendKey _key, Micros _now) const
{
	return m_speeds ? m_speeds->present(_key, _now) : 1.0;
}

std::size_t Balancer::drawBySpeed(const std::vector<const KnownBackend*>& _pool, std::size_t _first)
{
	constexpr std::size_t kMaxDraws = 16; ///< Bounds the time; the last draw is taken as it is.
	std::size_t drawn = _first;
	for (std::size_t draw = 0; draw < kMaxDraws; ++draw)
	{
		drawn = _first + m_random() % (_pool.size() - _first);
		const double slowdown = m_speeds ? m_speeds->lasting(_pool[drawn]->key) : 1.0;
		const double fraction = static_cast<double>(m_random()) / static_cast<double>(std::minstd_rand::max());
		if (fraction * slowdown <= kFastestDrawn)
		{
			break;
		}
	}
	return drawn;
}

void Balancer::sampleCandidates(std::vector<const KnownBackend*>& _pool, const KnownBackend* _preferred,
								bool _bySpeed)
{
	const std::size_t fullScanLimit = m_manyGateways ? kSampleSize : kFullScanLimit;
	if (_pool.size() <= fullScanLimit)
	{
		return;
	}
	for (std::size_t index = 0; index < kSampleSize; ++index)
	{
		const std::size_t other =
			_bySpeed ? drawBySpeed(_pool, index) : index + m_random() % (_pool.size() - index);
		std::swap(_pool[index], _pool[other]);
	}
	_pool.resize(kSampleSize);
	if (_preferred)
	{
		_pool.push_back(_preferred);
	}
}

Placement Balancer::estimate(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
							 Micros _now) const
{
	const BackendLoad load = totalLoad(_backend.key);
	const double slowdown = slowdownOf(_backend.key, _now);
	Placement placement;
	double cost = _backend.record.dataCentre == m_dataCentre ? 0.0 : kOtherDataCentreMillis;
	cost += load.inFlight >= _backend.record.slots ? kFullMillis : 0.0;
	cost += _backend.coldUntil > _now ? kColdMillis : 0.0;
	if (_request.promptTokens == 0)
	{
		placement.cost = cost + slowdown * kPlainCallMillis * (load.inFlight + 1);
		return placement;
	}
	const std::uint64_t missing = _preferred ? 0 : _request.sharedTokens();
	const double millisPerToken = slowdown / _request.tokensPerMilli;
	placement.expectedTokens = _preferred ? _request.ownTokens() : _request.promptTokens;
	placement.cost = cost + millisPerToken * static_cast<double>(load.pendingTokens + _request.ownTokens()) +
					 kCacheMissWeight * millisPerToken * static_cast<double>(missing) +
					 slowdown * kInFlightMillis * load.inFlight;
	return placement;
}

double Balancer::costOf(const KnownBackend& _backend, const PlacementRequest& _request, bool _preferred,
						Micros _now) const
{
	const BackendLoad load = totalLoad(_backend.key);
	double cost = _backend.record.dataCentre == m_dataCentre ? 0.0 : kOtherDataCentreMillis;
	cost += load.inFlight >= _backend.record.slots ? kFullMillis : 0.0;
	cost += _backend.coldUntil > _now ? kColdMillis : 0.0;
	if (_request.promptTokens == 0)
	{
		return cost + kPlainCallMillis * load.inFlight;
	}
	const std::uint64_t missing = _preferred ? 0 : _request.sharedTokens();
	cost += static_cast<double>(load.pendingTokens) / _request.tokensPerMilli;
	cost += kCacheMissWeight * static_cast<double>(missing) / _request.tokensPerMilli;
	cost += kInFlightMillis * load.inFlight;
	return cost;
}

BackendLoad Balancer::totalLoad(BackendKey _key) const
{
	BackendLoad total;
	for (const auto* loads : {&m_own, &m_peerTotals})
	{
		const auto it = loads->find(_key);
		if (it != loads->end())
		{
			total.inFlight += it->second.inFlight;
			total.pendingTokens += it->second.pendingTokens;
		}
	}
	return total;
}

unsigned Balancer::ownInFlight(BackendKey _key) const
{
	const auto own = m_own.find(_key);
	return own == m_own.end() ? 0 : own->second.inFlight;
}

unsigned Balancer::ownOccupying(BackendKey _key) const
{
	const auto generating = m_generating.find(_key);
	return ownInFlight(_key) - (generating == m_generating.end() ? 0 : generating->second);
}

unsigned Balancer::totalInFlight(BackendKey _key) const
{
	return totalLoad(_key).inFlight;
}

void Balancer::onSent(BackendKey _key, const PlacementRequest& _request)
{
	BackendLoad& load = m_own[_key];
	load.key = _key;
	++load.inFlight;
	load.pendingTokens += _request.pendingTokens();
}

void Balancer::onFirstEvent(BackendKey _key, const PlacementRequest& _request)
{
	removePending(_key, _request);
	if (_request.freesSlotAtFirstEvent)
	{
		++m_generating[_key];
	}
}

void Balancer::removePending(BackendKey _key, const PlacementRequest& _request)
{
	BackendLoad& load = m_own[_key];
	load.pendingTokens -= std::min(load.pendingTokens, _request.pendingTokens());
}

void Balancer::onEnded(BackendKey _key, const PlacementRequest& _request, bool _hadFirstEvent)
{
	if (!_hadFirstEvent)
	{
		removePending(_key, _request);
	}
	else if (const auto generating = m_generating.find(_key);
			 generating != m_generating.end() && _request.freesSlotAtFirstEvent)
	{
		--generating->second == 0 ? void(m_generating.erase(generating)) : void();
	}
	BackendLoad& load = m_own[_key];
	load.inFlight -= std::min(load.inFlight, 1u);
}

bool Balancer::ejected(BackendKey _key, Micros _now) const
{
	const auto it = m_health.find(_key);
	return it != m_health.end() && it->second.ejectedUntil > _now;
}

void Balancer::onOutcome(BackendKey _key, bool _succeeded, Micros _now)
{
	Health& health = m_health[_key];
	health.failureShare = health.failureShare * kHealthDecay + (_succeeded ? 0.0 : 1.0 - kHealthDecay);
	++health.samples;
	health.consecutive = _succeeded ? 0 : health.consecutive + 1;
	const bool manyFail = health.samples >= kEjectSamples && health.failureShare > kEjectShare;
	if (manyFail || health.consecutive >= kEjectConsecutive)
	{
		health.ejectSpan = std::clamp(health.ejectSpan * 2, kEjectMin, kEjectMax);
		health.ejectedUntil = _now + health.ejectSpan;
		// After the ejection, one more failure ejects it again, and one success resets the count.
		health.consecutive = kEjectConsecutive - 1;
		health.samples = 0;
		health.failureShare = 0.0;
	}
	if (_succeeded && _now > health.ejectedUntil)
	{
		health.ejectSpan = 0;
	}
}

void Balancer::setPeerLoads(const std::string& _peer, std::vector<BackendLoad> _loads, Micros _now)
{
	PeerLoads& known = m_peers[_peer];
	removeFromTotals(known.loads);
	known = {_now, std::move(_loads)};
	for (const BackendLoad& load : known.loads)
	{
		BackendLoad& total = m_peerTotals[load.key];
		total.inFlight += load.inFlight;
		total.pendingTokens += load.pendingTokens;
	}
}

void Balancer::removeFromTotals(const std::vector<BackendLoad>& _loads)
{
	for (const BackendLoad& load : _loads)
	{
		const auto it = m_peerTotals.find(load.key);
		if (it == m_peerTotals.end())
		{
			continue; // The peer reported no load there, and the zero sum was erased.
		}
		it->second.inFlight -= load.inFlight;
		it->second.pendingTokens -= load.pendingTokens;
		if (it->second.inFlight == 0 && it->second.pendingTokens == 0)
		{
			m_peerTotals.erase(it);
		}
	}
}

void Balancer::expirePeerLoads(Micros _now)
{
	for (auto it = m_peers.begin(); it != m_peers.end();)
	{
		const bool expired = _now - it->second.receivedAt > m_peerLoadLifetime;
		if (expired)
		{
			removeFromTotals(it->second.loads);
		}
		it = expired ? m_peers.erase(it) : std::next(it);
	}
}

std::vector<BackendLoad> Balancer::ownLoads() const
{
	std::vector<BackendLoad> loads;
	for (const auto& [key, load] : m_own)
	{
		if (load.inFlight > 0)
		{
			loads.push_back(load);
		}
	}
	return loads;
}

void Balancer::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::set<BackendKey> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	const auto gone = [&keys](const auto& _entry)
	{
		return !keys.count(_entry.first);
	};
	std::erase_if(m_health, gone);
	std::erase_if(m_own, [&](const auto& _entry) { return gone(_entry) && _entry.second.inFlight == 0; });
}

} // namespace beacongate
