// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/grantorchoice.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr std::size_t kMaxRankings = 1024; ///< Bounds the cache, since teams come and go.

std::uint64_t weightOf(const std::string& _team, const std::string& _host)
{
	return XXH64(_host.data(), _host.size(), XXH64(_team.data(), _team.size(), 0));
}
} // namespace

void GrantorChoice::setHosts(std::vector<std::string> _hosts)
{
	std::sort(_hosts.begin(), _hosts.end());
	if (_hosts == m_hosts)
	{
		return;
	}
	m_hosts = std::move(_hosts);
	m_rankings.clear();
	std::erase_if(m_failed, [this](const auto& _entry)
				  { return !std::binary_search(m_hosts.begin(), m_hosts.end(), _entry.first); });
}

const std::vector<std::string>& GrantorChoice::rankingOf(const std::string& _team)
{
	if (m_rankings.size() >= kMaxRankings)
	{
		m_rankings.clear();
	}
	const auto [ranking, isNew] = m_rankings.try_emplace(_team, m_hosts);
	if (isNew)
	{
		std::sort(ranking->second.begin(), ranking->second.end(),
				  [&_team](const std::string& _left, const std::string& _right) {
					  return std::pair(weightOf(_team, _left), _left) < std::pair(weightOf(_team, _right), _right);
				  });
	}
	return ranking->second;
}

std::vector<std::string> GrantorChoice::ranked(const std::string& _team, Micros _now)
{
	std::vector<std::string> hosts;
	for (const std::string& host : rankingOf(_team))
	{
		const auto failed = m_failed.find(host);
		if (failed == m_failed.end() || _now >= failed->second.retryAt)
		{
			hosts.push_back(host);
		}
	}
	return hosts;
}

Micros GrantorChoice::onUnable(const std::string& _host, Micros _now)
{
	m_failed[_host] = {_now + kInitialBackoff, 0};
	return kInitialBackoff;
}

Micros GrantorChoice::onSilent(const std::string& _host, Micros _now)
{
	Failure& failure = m_failed[_host];
	if (_now < failure.retryAt)
	{
		return failure.retryAt - _now; // Another request has recorded the same failure.
	}
	failure.backoff = std::clamp(2 * failure.backoff, kInitialBackoff, kMaxBackoff);
	failure.retryAt = _now + failure.backoff;
	return failure.backoff;
}

} // namespace beacongate
