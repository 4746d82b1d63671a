// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/router.h"

#include "coordination/cost.h"

namespace beacongate
{
namespace
{
/// Delay that a request in the batch adds to a prefill, as prompt tokens.
constexpr std::uint64_t kBatchTokens = 16;

std::uint64_t cachedTokens(const Backend& _backend, const RouteQuery& _query)
{
	if (nullptr == _query.chain)
	{
		return 0;
	}
	return tokensOfBytes(_backend.prefixes.match(*_query.chain) * limits::kPrefixBlockBytes);
}

std::uint64_t outstandingTokens(const Backend& _backend)
{
	// The report lags but includes the requests of other entries; the requests that this entry has sent are
	// known exactly. The larger of the two is the better estimate.
	const std::uint64_t waiting = std::max(_backend.report.queuedTokens, _backend.prefillTokens);
	const std::uint64_t running = std::max(_backend.report.running, _backend.active);
	return waiting + running * kBatchTokens;
}

std::uint64_t expectedTokens(const Backend& _backend, const RouteQuery& _query)
{
	const std::uint64_t cached = std::min(cachedTokens(_backend, _query), _query.promptTokens);
	return outstandingTokens(_backend) + _query.promptTokens - cached;
}

/// Orders by failure domain first, then by expected work.
bool isBetter(const Backend& _a, const Backend& _b, const RouteQuery& _query)
{
	const bool avoidA = _a.config.dataCentre == _query.avoidDataCentre;
	const bool avoidB = _b.config.dataCentre == _query.avoidDataCentre;
	if (avoidA != avoidB)
	{
		return avoidB;
	}
	return expectedTokens(_a, _query) < expectedTokens(_b, _query);
}
} // namespace

Router::Router(RoutePolicy _policy, std::uint64_t _seed) : m_policy(_policy), m_random(_seed)
{
}

RouterChoice Router::choose(const BackendTable& _backends, const RouteQuery& _query)
{
	m_free.clear();
	BackendHandle fallback;
	for (const BackendHandle handle : _backends.ofService(_query.service))
	{
		const Backend& backend = _backends.at(handle);
		if (!BackendTable::takesWork(backend, _query.now) || backend.active >= backend.config.slots)
		{
			continue;
		}
		if (handle == _query.avoid)
		{
			fallback = handle;
			continue;
		}
		m_free.push_back(handle);
	}
	if (m_free.empty() && isValid(fallback))
	{
		m_free.push_back(fallback);
	}
	RouterChoice route;
	if (m_free.empty())
	{
		return route;
	}
	route.weighed = static_cast<std::uint32_t>(m_free.size());
	const auto best = [&](auto _better)
	{
		return *std::min_element(m_free.begin(), m_free.end(), _better);
	};
	switch (m_policy)
	{
	case RoutePolicy::RoundRobin:
		route.backend = m_free[m_next++ % m_free.size()];
		break;
	case RoutePolicy::LeastOutstanding:
		route.backend = best([&](BackendHandle _a, BackendHandle _b)
							 { return _backends.at(_a).active < _backends.at(_b).active; });
		break;
	case RoutePolicy::PowerOfTwo:
	{
		const BackendHandle first = m_free[m_random() % m_free.size()];
		const BackendHandle second = m_free[m_random() % m_free.size()];
		route.backend = isBetter(_backends.at(second), _backends.at(first), _query) ? second : first;
		break;
	}
	case RoutePolicy::ExpectedFirstToken:
		route.backend = best([&](BackendHandle _a, BackendHandle _b)
							 { return isBetter(_backends.at(_a), _backends.at(_b), _query); });
		break;
	}
	const Backend& chosen = _backends.at(route.backend);
	route.cachedTokens = cachedTokens(chosen, _query);
	route.expectedTokens = expectedTokens(chosen, _query);
	return route;
}

} // namespace beacongate
