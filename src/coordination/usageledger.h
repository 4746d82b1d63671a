// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Counts requests that started to run, by team and window of true time, over all gateways.

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
/// One gateway's count for a team in a window. Within a run it only grows.
struct UsageCount
{
	std::uint64_t window = 0;
	std::string team;
	std::uint64_t count = 0;
};

/// One run of a gateway.
struct GatewayRun
{
	std::string name;
	std::uint64_t incarnation = 0;
	auto operator<=>(const GatewayRun&) const = default;
};

/// Counts with the runs that they belong to.
using RunCounts = std::vector<std::pair<GatewayRun, UsageCount>>;

/// The counts of this gateway and copies of its peers' counts, which are kept when a peer ends.
class UsageLedger
{
public:
	/// Number of windows that are kept.
	static constexpr std::uint64_t kRetainedWindows = 6;

	explicit UsageLedger(GatewayRun _self) : m_self(std::move(_self))
	{
	}

	/// Counts a request of a team that started to run here.
	void onRequestStarted(std::uint64_t _window, const std::string& _team)
	{
		++m_counts[{_window, m_self, _team}];
	}

	/// Records a count that a run, or another gateway on its behalf, has reported.
	void onReport(const GatewayRun& _run, const UsageCount& _report)
	{
		if (_run == m_self || _report.window + kRetainedWindows < m_newest)
		{
			return;
		}
		std::uint64_t& count = m_counts[{_report.window, _run, _report.team}];
		count = std::max(count, _report.count);
	}

	/// @returns this run's counts from a window on, as far as they are kept.
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

	/// @returns the counts of all runs from a window on, to be stored so that they outlive all gateways.
	/// @param[in] _byDataCentre True for the sums of data centres; false for single gateways.
	RunCounts allCounts(std::uint64_t _fromWindow, bool _byDataCentre = false) const
	{
		RunCounts counts;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) >= _fromWindow && isDataCentre(std::get<GatewayRun>(key)) == _byDataCentre)
			{
				counts.emplace_back(std::get<GatewayRun>(key),
									UsageCount{std::get<0>(key), std::get<std::string>(key), count});
			}
		}
		return counts;
	}

	/// Sums the counts of all single gateways that are known here; at a collector these are those of its data
	/// centre.
	/// @param[in] _windowSpan Length of a window.
	/// @returns the sums as the counts of one run for each second of a window in which gateways started, and of one
	/// run for all that had started before the window. Like a single run's count, each sum only grows as more
	/// reports arrive, so the larger of two is correct. One sum over all runs would mix in those that restarted,
	/// and a restarted collector would lose the counts of ended runs.
	RunCounts dataCentreCounts(const std::string& _dataCentre, std::uint64_t _fromWindow, Micros _windowSpan) const
	{
		std::map<Key, std::uint64_t> sums;
		for (const auto& [key, count] : m_counts)
		{
			const auto& [window, run, team] = key;
			if (window >= _fromWindow && !isDataCentre(run))
			{
				const std::uint64_t windowStart = window * static_cast<std::uint64_t>(_windowSpan);
				const std::uint64_t startOffset =
					run.incarnation < windowStart ? 0 : run.incarnation - windowStart + kSecond;
				sums[{window, {kDataCentrePrefix + _dataCentre, startOffset / kSecond}, team}] += count;
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

	/// @param[in] _byDataCentre True for the sums of data centres; false for single gateways.
	/// @returns the counts of all runs in a window, by team.
	std::map<std::string, std::uint64_t> totals(std::uint64_t _window, bool _byDataCentre = false) const
	{
		std::map<std::string, std::uint64_t> sums;
		for (const auto& [key, count] : m_counts)
		{
			if (std::get<0>(key) == _window && isDataCentre(std::get<GatewayRun>(key)) == _byDataCentre)
			{
				sums[std::get<std::string>(key)] += count;
			}
		}
		return sums;
	}

	/// Drops windows that are too old to be kept.
	void advance(std::uint64_t _window)
	{
		m_newest = std::max(m_newest, _window);
		std::erase_if(m_counts, [this](const auto& _entry)
					  { return std::get<0>(_entry.first) + kRetainedWindows < m_newest; });
	}

private:
	using Key = std::tuple<std::uint64_t, GatewayRun, std::string>;

	/// Prefix of the name of a run that stands for a data centre. No gateway's name contains a slash.
	static constexpr const char* kDataCentrePrefix = "/";

	static bool isDataCentre(const GatewayRun& _run)
	{
		return _run.name.compare(0, 1, kDataCentrePrefix) == 0;
	}

	GatewayRun m_self;
	std::uint64_t m_newest = 0;
	std::map<Key, std::uint64_t> m_counts;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGELEDGER_H
