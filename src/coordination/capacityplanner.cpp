// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/capacityplanner.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
// Measured on five days of three deployments (docs/POLICY.md, round 6), but for those that say otherwise.
constexpr double kSpareFactor = 1.6;    ///< Of the square root of the work: what a varying load needs.
constexpr double kSpareServers = 2.0;   ///< On top: what a reclaim takes is made up by what stands elsewhere.
constexpr double kSpareShare = 0.4;     ///< Of the work, at least: one of four data centres may go, and a bit more.
constexpr double kRequiredFactor = 1.6; ///< The same without comfort; with 0.8, reclaims are felt at once.
constexpr double kRequiredServers = 0.6;
constexpr double kFirstShare = 0.4; ///< Of the most that may be ordered; a judgement.
constexpr Micros kResend = 1 * kSecond;
constexpr double kSlotUse = 0.85; ///< A larger share of slots is not held without requests that wait.

double priceOf(const ScalingSettings& _scaling, const std::string& _zone)
{
	const auto it = _scaling.zonePrices.find(_zone);
	return it == _scaling.zonePrices.end() ? 1.0 : it->second;
}

std::vector<std::string> byPrice(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones)
{
	std::vector<std::string> names;
	names.reserve(_zones.size());
	for (const auto& [name, capacity] : _zones)
	{
		names.push_back(name);
	}
	std::stable_sort(names.begin(), names.end(),
					 [&](const std::string& _left, const std::string& _right)
					 { return priceOf(_scaling, _left) < priceOf(_scaling, _right); });
	return names;
}
} // namespace

double CapacityPlanner::combinedWork(double _reading, double _occupied)
{
	return _reading + _occupied / kSlotUse;
}

unsigned CapacityPlanner::serversDesired(double _work)
{
	const double forVariation = kSpareFactor * std::sqrt(std::max(0.0, _work)) + kSpareServers;
	return static_cast<unsigned>(std::ceil(_work + std::max(forVariation, kSpareShare * _work)));
}

unsigned CapacityPlanner::initialServers(const ScalingSettings& _scaling)
{
	const auto perZone = static_cast<unsigned>(std::lround(_scaling.maximum * kFirstShare));
	const auto zones = static_cast<unsigned>(_scaling.zonePrices.size());
	return std::max({1u, _scaling.minimum, perZone}) * std::max(1u, zones);
}

CapacityPlanner::Need CapacityPlanner::needFor(const ScalingSettings& _scaling, const Observation& _seen)
{
	Need need;
	need.desired = serversDesired(_seen.work);
	need.required = serversRequired(_seen.work);
	need.idle = _seen.firstStart && _seen.work <= 0.0;
	need.known = need.idle || _seen.listed;
	if (_seen.settled)
	{
		return need;
	}
	const unsigned guess = _seen.firstStart ? initialServers(_scaling) : _seen.running;
	need.desired = std::max(need.desired, guess);
	// At the very first start, on-demand capacity is not waited for.
	need.required = std::max(need.required, _seen.firstStart ? guess / 2 : guess);
	return need;
}

unsigned CapacityPlanner::serversRequired(double _work)
{
	return static_cast<unsigned>(
		std::ceil(_work + kRequiredFactor * std::sqrt(std::max(0.0, _work)) + kRequiredServers));
}

std::map<std::string, unsigned> CapacityPlanner::spreadSpot(const ScalingSettings& _scaling,
															const std::map<std::string, ZoneCapacity>& _zones,
															unsigned _needed) const
{
	std::map<std::string, unsigned> spread;
	const std::vector<std::string> names = byPrice(_scaling, _zones);
	const auto most = static_cast<unsigned>(names.size()) * _scaling.maximum;
	unsigned left = std::min(_needed, most);
	std::vector<std::string> open;
	for (const std::string& name : names)
	{
		spread[name] = std::min(std::max(1u, _scaling.minimum), _scaling.maximum);
		const auto zone = m_zones.find(name);
		if (zone == m_zones.end() || !zone->second.spotDry)
		{
			open.push_back(name);
			left -= std::min(left, spread[name]);
		}
	}
	// What one data centre does not give is ordered in the others, at the price of spot still.
	const std::vector<std::string>& takers = open.empty() ? names : open;
	// Evenly, the cheapest first: a reclaim takes all spot capacity of one data centre.
	while (left > 0)
	{
		bool placed = false;
		for (const std::string& name : takers)
		{
			if (left > 0 && spread[name] < _scaling.maximum)
			{
				++spread[name];
				--left;
				placed = true;
			}
		}
		if (!placed)
		{
			break;
		}
	}
	return spread;
}

void CapacityPlanner::Held::update(unsigned _wanted, Micros _releaseDelay, Micros _now)
{
	if (_wanted >= count || _now - needed > _releaseDelay)
	{
		count = _wanted;
	}
	if (_wanted >= count)
	{
		needed = _now;
	}
}

bool CapacityPlanner::due(const Ordered& _ordered, unsigned _wanted, unsigned _standing, Micros _bootTime,
						  Micros _now) const
{
	if (!_ordered.known || _ordered.count != _wanted)
	{
		return _now - _ordered.at >= kResend || _ordered.count != _wanted;
	}
	return _standing != _wanted && _now - _ordered.at > _bootTime + kBootSlack;
}

bool CapacityPlanner::onItsWay(const Ordered& _ordered, Micros _bootTime, Micros _now) const
{
	return _ordered.known && _now - _ordered.at <= _bootTime + kBootSlack;
}

std::vector<CapacityOrder> CapacityPlanner::plan(const ScalingSettings& _scaling,
												 const std::map<std::string, ZoneCapacity>& _zones,
												 const Need& _need, Micros _now)
{
	std::vector<CapacityOrder> orders;
	const unsigned running = planSpot(_scaling, _zones, _need, _now, orders);
	const bool unanswered = std::any_of(m_zones.begin(), m_zones.end(),
										[](const auto& _entry) { return _entry.second.spot.at == kLongAgo; });
	if (_need.known && !(_need.idle && unanswered))
	{
		const unsigned secure = running - std::min(running, spotAtRisk(_zones));
		const unsigned missing = _need.required - std::min(_need.required, secure);
		planOnDemand(_scaling, _zones, missing, _now, orders);
	}
	return orders;
}

unsigned CapacityPlanner::planSpot(const ScalingSettings& _scaling,
								   const std::map<std::string, ZoneCapacity>& _zones, const Need& _need,
								   Micros _now, std::vector<CapacityOrder>& _orders)
{
	unsigned running = 0;
	unsigned surplus = spotSurplus(_zones, _need.desired);
	const unsigned evenShare =
		std::min(_need.desired / std::max(1u, static_cast<unsigned>(_zones.size())), _scaling.maximum);
	for (const auto& [name, wanted] : spreadSpot(_scaling, _zones, _need.desired))
	{
		const ZoneCapacity& capacity = _zones.at(name);
		ZonePlan& zone = m_zones[name];
		const bool expected = _need.idle && onItsWay(zone.spot, _scaling.bootTime, _now);
		running += expected ? std::max(capacity.spot, zone.spot.count) : capacity.spot;
		if (capacity.reclaiming)
		{
			zone.spotBlockedUntil = std::max(zone.spotBlockedUntil, _now + kSpotRetry);
			zone.spotDry = true;
		}
		// A dry data centre is asked for what it would give were it not dry.
		zone.spotHeld.update(zone.spotDry ? std::max(wanted, evenShare) : wanted, kSpotRelease, _now);
		const unsigned released = std::min(surplus, capacity.spot - std::min(capacity.spot, zone.spotHeld.count));
		surplus -= released;
		const unsigned count = std::max(zone.spotHeld.count, capacity.spot - released);
		const bool blocked = zone.spotBlockedUntil > _now;
		if (!blocked && due(zone.spot, count, capacity.spot, _scaling.bootTime, _now))
		{
			_orders.push_back({name, true, count});
		}
	}
	return running;
}

unsigned CapacityPlanner::spotSurplus(const std::map<std::string, ZoneCapacity>& _zones, unsigned _wished) const
{
	unsigned running = 0;
	for (const auto& [name, capacity] : _zones)
	{
		running += capacity.spot;
	}
	return anyDry() ? 0 : running - std::min(running, _wished);
}

bool CapacityPlanner::anyDry() const
{
	return std::any_of(m_zones.begin(), m_zones.end(), [](const auto& _entry) { return _entry.second.spotDry; });
}

unsigned CapacityPlanner::spotAtRisk(const std::map<std::string, ZoneCapacity>& _zones) const
{
	unsigned most = 0;
	for (const auto& [name, capacity] : _zones)
	{
		most = std::max(most, capacity.spot);
	}
	return anyDry() ? most : 0;
}

void CapacityPlanner::planOnDemand(const ScalingSettings& _scaling,
								   const std::map<std::string, ZoneCapacity>& _zones, unsigned _missing,
								   Micros _now, std::vector<CapacityOrder>& _orders)
{
	for (const auto& [name, wanted] : makeUp(_scaling, _zones, _missing))
	{
		ZonePlan& zone = m_zones[name];
		zone.onDemandHeld.update(wanted, kOnDemandRelease, _now);
		if (due(zone.onDemand, zone.onDemandHeld.count, _zones.at(name).onDemand, _scaling.bootTime, _now))
		{
			_orders.push_back({name, false, zone.onDemandHeld.count});
		}
	}
}

std::map<std::string, unsigned> CapacityPlanner::makeUp(const ScalingSettings& _scaling,
														const std::map<std::string, ZoneCapacity>& _zones,
														unsigned _missing)
{
	std::map<std::string, unsigned> counts;
	const std::vector<std::string> names = byPrice(_scaling, _zones);
	// What stands is kept before anything new is started.
	for (const std::string& name : names)
	{
		const unsigned kept = std::min(_missing, _zones.at(name).onDemand);
		counts[name] = kept;
		_missing -= kept;
	}
	for (const std::string& name : names)
	{
		const unsigned taken = _zones.at(name).spot + counts[name];
		const unsigned room = _scaling.maximum - std::min(_scaling.maximum, taken);
		const unsigned added = std::min(_missing, room);
		counts[name] += added;
		_missing -= added;
	}
	return counts;
}

void CapacityPlanner::onAnswer(const CapacityOrder& _order, bool _taken, bool _refused, Micros _now)
{
	ZonePlan& zone = m_zones[_order.dataCentre];
	Ordered& ordered = _order.spot ? zone.spot : zone.onDemand;
	ordered = {_order.count, _taken, _now};
	if (_refused && _order.spot)
	{
		zone.spotBlockedUntil = _now + kSpotRetry;
		zone.spotDry = true;
	}
	if (_taken && _order.spot)
	{
		zone.spotDry = false;
	}
}

} // namespace beacongate
