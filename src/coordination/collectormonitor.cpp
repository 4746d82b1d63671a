// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/collectormonitor.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr Micros kLongestRound = 2 * limits::kCollectorRound; ///< While the process runs.
} // namespace

std::vector<std::string> CollectorMonitor::takeSilent(Micros _now,
													  const std::function<Micros(const std::string&)>& _heard,
													  const std::vector<std::string>& _spokenTo)
{
	m_stall.onTick(_now, kLongestRound);
	std::vector<std::string> silent;
	for (auto it = m_askedSince.begin(); it != m_askedSince.end();)
	{
		const auto& [host, asked] = *it;
		const Micros since = std::max({asked, _heard(host), m_stall.resumedAt()});
		const bool isSilent = _now - since > kSilenceTimeout;
		if (isSilent)
		{
			silent.push_back(host);
		}
		const bool spokenTo = std::find(_spokenTo.begin(), _spokenTo.end(), host) != _spokenTo.end();
		it = isSilent || !spokenTo ? m_askedSince.erase(it) : std::next(it);
	}
	return silent;
}

} // namespace beacongate
