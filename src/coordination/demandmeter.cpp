// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
constexpr double kSecondsPerToken = 1.0 / 60'000.0; ///< Of an engine that reads a prompt.
constexpr double kSecondsPerTokenPair = 0.33e-9;    ///< A prompt's cost grows faster than its length.
constexpr double kCallUse = 0.6;                    ///< A plain service is full at this share of its slots.
constexpr double kAveragingSeconds = 4.0;
constexpr double kPeakSeconds = 10.0; ///< A peak is remembered for about this long.

double secondsOf(Micros span)
{
	return static_cast<double>(span) / static_cast<double>(kSecond);
}
} // namespace

void DemandMeter::add(Service& service, double work)
{
	service.fresh += work;
}

void DemandMeter::onPrompt(const std::string& service, std::uint64_t promptTokens)
{
	const auto tokens = static_cast<double>(promptTokens);
	const double work = tokens * kSecondsPerToken + tokens * tokens * kSecondsPerTokenPair;
	Service& entry = m_services[service];
	entry.own += work;
	add(entry, work);
}

void DemandMeter::onCall(const std::string& service, Micros duration, unsigned slots)
{
	const double work = secondsOf(duration) / (static_cast<double>(std::max(1u, slots)) * kCallUse);
	Service& entry = m_services[service];
	entry.own += work;
	add(entry, work);
}

void DemandMeter::onReport(const std::string& peer, std::uint64_t incarnation, const DemandReport& report)
{
	Service& entry = m_services[report.service];
	const auto [it, added] = entry.peers.try_emplace(peer);
	PeerWork& known = it->second;
	if (incarnation < known.incarnation)
	{
		return;
	}
	if (incarnation > known.incarnation)
	{
		// What it brought before it was known cannot be told apart from old work.
		known = {incarnation, report.work};
		return;
	}
	if (report.work > known.work)
	{
		add(entry, report.work - known.work);
		known.work = report.work;
	}
}

void DemandMeter::advance(Micros now)
{
	const double passed = secondsOf(now - m_advanced);
	if (m_advanced != 0 && passed > 0.0)
	{
		const double weight = 1.0 - std::exp(-passed / kAveragingSeconds);
		for (auto& [name, service] : m_services)
		{
			service.rate += weight * (service.fresh / passed - service.rate);
			service.recentPeak = std::max(service.rate, service.recentPeak * std::exp(-passed / kPeakSeconds));
			if (service.fresh > 0.0 && service.firstWork == kNever)
			{
				service.firstWork = now;
			}
			service.fresh = 0.0;
		}
	}
	m_advanced = now;
}

double DemandMeter::work(const std::string& service) const
{
	const auto it = m_services.find(service);
	return it == m_services.end() ? 0.0 : it->second.recentPeak;
}

bool DemandMeter::settled(const std::string& service, Micros now) const
{
	const auto it = m_services.find(service);
	return it != m_services.end() && it->second.firstWork != kNever && now - it->second.firstWork > kSettling;
}

std::vector<DemandReport> DemandMeter::ownReports() const
{
	std::vector<DemandReport> reports;
	for (const auto& [name, service] : m_services)
	{
		if (service.own > 0.0)
		{
			reports.push_back({name, service.own});
		}
	}
	return reports;
}

} // namespace beacongate
