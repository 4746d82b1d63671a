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

void DemandMeter::Average::step(double _passed)
{
	const double weight = 1.0 - std::exp(-_passed / kAveragingSeconds);
	rate += weight * (fresh / _passed - rate);
	recentPeak = std::max(rate, recentPeak * std::exp(-_passed / kPeakSeconds));
	fresh = 0.0;
}

void DemandMeter::onArrival(const std::string& _service, double _readingSeconds, double _holdSeconds,
							unsigned _slots)
{
	const double held = _holdSeconds / static_cast<double>(std::max(1u, _slots));
	Service& entry = m_services[_service];
	entry.ownWork += _readingSeconds;
	entry.work.fresh += _readingSeconds;
	entry.ownOccupied += held;
	entry.occupied.fresh += held;
}

void DemandMeter::onCall(const std::string& _service, Micros _duration, unsigned _slots)
{
	const double work = secondsOf(_duration) / (static_cast<double>(std::max(1u, _slots)) * kCallUse);
	Service& entry = m_services[_service];
	entry.ownWork += work;
	entry.work.fresh += work;
}

void DemandMeter::addGrowth(Average& _average, double& _known, double _reported)
{
	if (_reported > _known)
	{
		_average.fresh += _reported - _known;
		_known = _reported;
	}
}

void DemandMeter::onReport(const std::string& _peer, std::uint64_t _incarnation, const DemandReport& _report)
{
	Service& entry = m_services[_report.service];
	PeerWork& known = entry.peers[_peer];
	if (_incarnation < known.incarnation)
	{
		return;
	}
	if (_incarnation > known.incarnation)
	{
		// What it brought before it was known cannot be told apart from old work.
		known = {_incarnation, _report.work, _report.occupied};
		return;
	}
	addGrowth(entry.work, known.work, _report.work);
	addGrowth(entry.occupied, known.occupied, _report.occupied);
}

void DemandMeter::advance(Micros _now)
{
	const double passed = secondsOf(_now - m_advanced);
	if (m_advanced != 0 && passed > 0.0)
	{
		for (auto& [name, service] : m_services)
		{
			if (service.work.fresh > 0.0 && service.firstWork == kNever)
			{
				service.firstWork = _now;
			}
			service.work.step(passed);
			service.occupied.step(passed);
		}
	}
	m_advanced = _now;
}

double DemandMeter::work(const std::string& _service) const
{
	const auto it = m_services.find(_service);
	return it == m_services.end() ? 0.0 : it->second.work.recentPeak;
}

double DemandMeter::occupied(const std::string& _service) const
{
	const auto it = m_services.find(_service);
	return it == m_services.end() ? 0.0 : it->second.occupied.recentPeak;
}

bool DemandMeter::settled(const std::string& _service, Micros _now) const
{
	const auto it = m_services.find(_service);
	return it != m_services.end() && it->second.firstWork != kNever && _now - it->second.firstWork > kSettling;
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
