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

/// Counts with the runs that counted them.
using RunCounts = std::vector<std::pair<GatewayRun, UsageCount>>;

/// Counts of this gateway and copies of those of its peers, which outlive a peer's end.
class UsageLedger
{
public:
	/// Windows that are remembered.
	static constexpr std::uint64_t kRetainedWindows = 6;

	explicit UsageLedger(GatewayRun _self) : m_self(std::move(_self))
	{
	}

	/// A request of a team began to run here.
	void onRequestStarted(std::uint64_t _window, const std::string& _team)
	{
		++m_counts[{_window, m_self, _team}];
	}

	/// A run says, or is said, to have counted this much.
	void onReport(const GatewayRun& _run, const UsageCount& _report)
	{
		if (_run == m_self || _report.window + kRetainedWindows < m_newest)
		{
			return;
		}
		std::uint64_t& count = m_counts[{_report.window, _run, _report.team}];
		count = std::max(count, _report.count);
	}

	/// @returns this run's counts of the windows that are remembered, from one window on.
	std::vector<UsageCount> ownCounts(std::uint64_t _fromWindow = 0) const
	{
		std::vector<UsageCount> counts;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<GatewayRun>(key) == m_self && std::get<0>(key) >= _fromWindow)
			{
				counts.push_back({std::get<0>(key), std::get<std::string>(key), count});
			}
		}
		return counts;
	}

	/// @returns counts of all runs from a window on, to be kept where they outlive all gateways.
	/// @param[in] _byCentre Of whole data centres instead of single gateways.
	RunCounts allCounts(std::uint64_t _fromWindow, bool _byCentre = false) const
	{
		RunCounts counts;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) >= _fromWindow && isCentre(std::get<GatewayRun>(key)) == _byCentre)
			{
				counts.emplace_back(std::get<GatewayRun>(key),
									UsageCount{std::get<0>(key), std::get<std::string>(key), count});
			}
		}
		return counts;
	}

	/// Adds up the runs of single gateways that are known here, which are those of one data centre at a collector.
	/// @param[in] _windowSpan Length of a window.
	/// @returns sums as the counts of one run for each second in which gateways started, and of one for all that
	/// had started before the window. Like a single run's, such a sum only grows as more is heard, so that the
	/// larger of two is right; one sum over all would count those that restarted, and a collector that restarted
	/// would forget what ended runs had counted.
	RunCounts dataCentreCounts(const std::string& _dataCentre, std::uint64_t _fromWindow, Micros _windowSpan) const
	{
		std::map<Key, std::uint64_t> sums;
		for (const auto& [key, count] : m_counts)
		{
			const auto& [window, run, team] = key;
			if (window >= _fromWindow && !isCentre(run))
			{
				const std::uint64_t windowStart = window * static_cast<std::uint64_t>(_windowSpan);
				const std::uint64_t late =
					run.incarnation < windowStart ? 0 : run.incarnation - windowStart + kSecond;
				sums[{window, {kCentreMark + _dataCentre, late / kSecond}, team}] += count;
			}
		}
		RunCounts counts;
		for (const auto& [key, count] : sums)
		{
			counts.emplace_back(std::get<GatewayRun>(key),
								UsageCount{std::get<0>(key), std::get<std::string>(key), count});
		}
		return counts;
	}

	/// @param[in] _byCentre Adds up whole data centres instead of single gateways.
	/// @returns counts of all runs in a window, by team.
	std::map<std::string, std::uint64_t> totals(std::uint64_t _window, bool _byCentre = false) const
	{
		std::map<std::string, std::uint64_t> sums;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) == _window && isCentre(std::get<GatewayRun>(key)) == _byCentre)
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
		std::erase_if(m_counts, [this](const auto& _entry)
					  { return std::get<0>(_entry.first) + kRetainedWindows < m_newest; });
	}

private:
	using Key = std::tuple<std::uint64_t, GatewayRun, std::string>;

	/// Begins the name of a run that stands for a data centre; no gateway's name holds a slash.
	static constexpr const char* kCentreMark = "/";

	static bool isCentre(const GatewayRun& _run)
	{
		return _run.name.compare(0, 1, kCentreMark) == 0;
	}

	GatewayRun m_self;
	std::uint64_t m_newest = 0;
	std::map<Key, std::uint64_t> m_counts;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGELEDGER_H
