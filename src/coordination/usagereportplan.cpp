// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/usagereportplan.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
std::size_t UsageReportPlan::update(const GatewayRun& _run, const UsageCount& _count,
									std::map<Key, Row>& _updated) const
{
	const Key key(_count.window, _run, _count.team);
	const auto known = m_rows.find(key);
	const bool isUnchanged = known != m_rows.end() && known->second.count == _count.count;
	const Row row{_count.count, isUnchanged ? known->second.changedIn : m_round};
	_updated.emplace(key, row);
	return row.changedIn;
}

std::vector<RunCounts> UsageReportPlan::select(const RunCounts& _rows, const std::set<std::string>& _receivers)
{
	const bool hasNewReceiver =
		std::any_of(_receivers.begin(), _receivers.end(),
					[this](const std::string& _host) { return m_receivers.count(_host) == 0; });
	m_receivers = _receivers;
	m_allUntil = hasNewReceiver ? m_round + kRepeatRounds : m_allUntil;
	std::vector<RunCounts> parts;
	std::map<Key, Row> updated;
	std::size_t index = 0;
	for (const auto& [run, count] : _rows)
	{
		const std::size_t changedIn = update(run, count, updated);
		const bool isDue = index++ % kRoundsPerCycle == m_round % kRoundsPerCycle;
		if (m_round < m_allUntil || m_round - changedIn < kRepeatRounds || isDue)
		{
			if (parts.empty() || parts.back().size() == kMaxRows)
			{
				parts.emplace_back();
			}
			parts.back().emplace_back(run, count);
		}
	}
	m_rows = std::move(updated);
	++m_round;
	return parts;
}

} // namespace beacongate
