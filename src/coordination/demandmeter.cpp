// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
constexpr double kCallUse = 0.6; ///< A plain service is full at this share of its slots.
constexpr double kAveragingSeconds = 4.0;
constexpr double kPeakSeconds = 10.0; ///< A peak is remembered for about this long.
} // namespace

void DemandMeter::Average::step(double passed)
{
	const double weight = 1.0 - std::exp(-passed / kAveragingSeconds);
	rate += weight * (fresh / passed - rate);
	recentPeak = std::max(rate, recentPeak * std::exp(-passed / kPeakSeconds));
	fresh = 0.0;
}

void DemandMeter::onPrompt(const std::string& service, double readingSeconds)
{
	Service& entry = m_services[service];
	entry.ownWork += readingSeconds;
	entry.work.fresh += readingSeconds;
}

void DemandMeter::onSlotHeld(const std::string& service, Micros duration, unsigned slots)
{
	const double held = secondsOf(duration) / static_cast<double>(std::max(1u, slots));
	Service& entry = m_services[service];
	entry.ownOccupied += held;
	entry.occupied.fresh += held;
}

void DemandMeter::onCall(const std::string& service, Micros duration, unsigned slots)
{
	const double work = secondsOf(duration) / (static_cast<double>(std::max(1u, slots)) * kCallUse);
	Service& entry = m_services[service];
	entry.ownWork += work;
	entry.work.fresh += work;
}

void DemandMeter::addGrowth(Average& average, double& known, double reported)
{
	if (reported > known)
	{
		average.fresh += reported - known;
		known = reported;
	}
}

void DemandMeter::onReport(const std::string& peer, std::uint64_t incarnation, const DemandReport& report)
{
	Service& entry = m_services[report.service];
	PeerWork& known = entry.peers[peer];
	if (incarnation < known.incarnation)
	{
		return;
	}
	if (incarnation > known.incarnation)
	{
		// What it brought before it was known cannot be told apart from old work.
		known = {incarnation, report.work, report.occupied};
		return;
	}
	addGrowth(entry.work, known.work, report.work);
	addGrowth(entry.occupied, known.occupied, report.occupied);
}

void DemandMeter::advance(Micros now)
{
	const double passed = secondsOf(now - m_advanced);
	if (m_advanced != 0 && passed > 0.0)
	{
		for (auto& [name, service] : m_services)
		{
			if (service.work.fresh > 0.0 && service.firstWork == kNever)
			{
				service.firstWork = now;
			}
			service.work.step(passed);
			service.occupied.step(passed);
		}
	}
	m_advanced = now;
}

double DemandMeter::work(const std::string& service) const
{
	const auto it = m_services.find(service);
	return it == m_services.end() ? 0.0 : it->second.work.recentPeak;
}

double DemandMeter::occupied(const std::string& service) const
{
	const auto it = m_services.find(service);
	return it == m_services.end() ? 0.0 : it->second.occupied.recentPeak;
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
		if (service.ownWork > 0.0)
		{
			reports.push_back({name, service.ownWork, service.ownOccupied});
		}
	}
	return reports;
}
} // namespace beacongate
