// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/demandmeter.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
/// A backend server of a plain service counts as full at this share of its slots.
constexpr double kMaxSlotUse = 0.6;
constexpr double kAveragingSeconds = 4.0;
constexpr double kPeakSeconds = 10.0; ///< Time constant for the decay of the peak.
} // namespace

void DemandMeter::Average::step(double _elapsed)
{
	const double weight = 1.0 - std::exp(-_elapsed / kAveragingSeconds);
	rate += weight * (added / _elapsed - rate);
	recentPeak = std::max(rate, recentPeak * std::exp(-_elapsed / kPeakSeconds));
	added = 0.0;
}

void DemandMeter::onArrival(const std::string& _service, double _prefillSeconds, double _holdSeconds,
							unsigned _slots)
{
	const double slotSeconds = _holdSeconds / static_cast<double>(std::max(1u, _slots));
	Service& entry = m_services[_service];
	entry.ownWork += _prefillSeconds;
	entry.work.added += _prefillSeconds;
	entry.ownOccupied += slotSeconds;
	entry.occupied.added += slotSeconds;
}

void DemandMeter::onCall(const std::string& _service, Micros _duration, unsigned _slots)
{
	const double work = secondsOf(_duration) / (static_cast<double>(std::max(1u, _slots)) * kMaxSlotUse);
	Service& entry = m_services[_service];
	entry.ownWork += work;
	entry.work.added += work;
}

void DemandMeter::addIncrease(Average& _average, double& _previous, double _reported)
{
	if (_reported > _previous)
	{
		_average.added += _reported - _previous;
		_previous = _reported;
	}
}

void DemandMeter::onReport(const std::string& _peer, std::uint64_t _incarnation, const DemandReport& _report)
{
	Service& entry = m_services[_report.service];
	PeerDemand& previous = entry.peers[_peer];
	if (_incarnation < previous.incarnation)
	{
		return;
	}
	if (_incarnation > previous.incarnation)
	{
		// Work from before the first report of this run may be old, so it is only the baseline.
		previous = {_incarnation, _report.work, _report.occupied};
		return;
	}
	addIncrease(entry.work, previous.work, _report.work);
	addIncrease(entry.occupied, previous.occupied, _report.occupied);
}

void DemandMeter::advance(Micros _now)
{
	const double elapsed = secondsOf(_now - m_advanced);
	if (m_advanced != 0 && elapsed > 0.0)
	{
		for (auto& [name, service] : m_services)
		{
			if (service.work.added > 0.0 && service.firstDemand == kNever)
			{
				service.firstDemand = _now;
			}
			service.work.step(elapsed);
			service.occupied.step(elapsed);
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
	return it != m_services.end() && it->second.firstDemand != kNever && _now - it->second.firstDemand > kSettling;
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
