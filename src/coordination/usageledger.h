// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Requests that began to run, by team and window of true time, over all gateways.

#ifndef BEACONGATE_COORDINATION_USAGELEDGER_H
#define BEACONGATE_COORDINATION_USAGELEDGER_H

#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace beacongate
{
/// A gateway's count for one team in one window; within a run it only grows.
struct UsageCount
{
	std::uint64_t window = 0;
	std::string team;
	std::uint64_t count = 0;
};

/// One run of one gateway.
struct GatewayRun
{
	std::string name;
	std::uint64_t incarnation = 0;
	auto operator<=>(const GatewayRun&) const = default;
};

/// Counts of this gateway and copies of those of its peers, which outlive a peer's end.
class UsageLedger
{
public:
	/// Windows that are remembered.
	static constexpr std::uint64_t kRemembered = 6;

	explicit UsageLedger(GatewayRun _self) : m_self(std::move(_self))
	{
	}

	/// A request of a team began to run here.
	void onBegan(std::uint64_t _window, const std::string& _team)
	{
		++m_counts[{_window, m_self, _team}];
	}

	/// A run says, or is said, to have counted this much.
	void onReport(const GatewayRun& _run, const UsageCount& _report)
	{
		if (_run == m_self || _report.window + kRemembered < m_newest)
		{
			return;
		}
		std::uint64_t& count = m_counts[{_report.window, _run, _report.team}];
		count = std::max(count, _report.count);
	}

	/// @returns this run's counts of the windows that are remembered.
	std::vector<UsageCount> ownCounts() const
	{
		std::vector<UsageCount> counts;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<GatewayRun>(key) == m_self)
			{
				counts.push_back({std::get<0>(key), std::get<std::string>(key), count});
			}
		}
		return counts;
	}

	/// @returns counts of all runs from a window on, to be kept where they outlive all gateways.
	std::vector<std::pair<GatewayRun, UsageCount>> allCounts(std::uint64_t _fromWindow) const
	{
		std::vector<std::pair<GatewayRun, UsageCount>> counts;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) >= _fromWindow)
			{
				counts.emplace_back(std::get<GatewayRun>(key),
									UsageCount{std::get<0>(key), std::get<std::string>(key), count});
			}
		}
		return counts;
	}

	/// @returns counts of all runs in a window, by team.
	std::map<std::string, std::uint64_t> totals(std::uint64_t _window) const
	{
		std::map<std::string, std::uint64_t> sums;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) == _window)
			{
				sums[std::get<std::string>(key)] += count;
			}
		}
		return sums;
	}

	/// Forgets old windows.
	void advance(std::uint64_t _window)
	{
		m_newest = std::max(m_newest, _window);
		std::erase_if(m_counts,
					  [this](const auto& _entry) { return std::get<0>(_entry.first) + kRemembered < m_newest; });
	}

private:
	using Key = std::tuple<std::uint64_t, GatewayRun, std::string>;

	GatewayRun m_self;
	std::uint64_t m_newest = 0;
	std::map<Key, std::uint64_t> m_counts;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGELEDGER_H
