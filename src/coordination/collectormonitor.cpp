// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/collectormonitor.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// A longer interval between two calls is a stall of this process.
constexpr Micros kMaxRoundInterval = 2 * limits::kCollectorRound;
} // namespace

std::vector<std::string> CollectorMonitor::takeSilent(Micros _now,
													  const std::function<Micros(const std::string&)>& _heard,
													  const std::vector<std::string>& _contacted)
{
	m_stall.onTick(_now, kMaxRoundInterval);
	std::vector<std::string> silent;
	for (auto it = m_contactedAt.begin(); it != m_contactedAt.end();)
	{
		const auto& [host, contactedAt] = *it;
		const Micros since = std::max({contactedAt, _heard(host), m_stall.resumedAt()});
		const bool isSilent = _now - since > kSilenceTimeout;
		if (isSilent)
		{
			silent.push_back(host);
		}
		const bool contacted = std::find(_contacted.begin(), _contacted.end(), host) != _contacted.end();
		it = isSilent || !contacted ? m_contactedAt.erase(it) : std::next(it);
	}
	return silent;
}

} // namespace beacongate
