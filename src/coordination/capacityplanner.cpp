// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/capacityplanner.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
// See docs/POLICY.md, round 6, for the measurements behind these constants.
constexpr double kSpareFactor = 1.6; ///< Spare servers for each square root of the work, for a varying load.
/// Spare servers in addition to these, since servers in other data centres replace those that a reclaim takes.
constexpr double kSpareServers = 2.0;
/// Smallest spare share of the work. It covers the loss of one of four data centres, and a little more.
constexpr double kSpareShare = 0.4;
/// Counterpart of kSpareFactor for the servers that are required at any price. With 0.8, a reclaim delays requests
/// at once.
constexpr double kRequiredFactor = 1.6;
/// Counterpart of kSpareServers for the servers that are required at any price.
constexpr double kRequiredServers = 0.6;
constexpr double kFirstShare = 0.4; ///< Share of the maximum that is ordered before any load is known.
/// Interval at which an order is sent again that the platform has not accepted.
constexpr Micros kResend = 1 * kSecond;
constexpr double kMaxSlotUse = 0.85; ///< Largest share of slots that can be held without requests that wait.

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

double CapacityPlanner::combinedWork(double _prefill, double _occupied)
{
	return _prefill + _occupied / kMaxSlotUse;
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
	need.noLoadYet = _seen.firstStart && _seen.work <= 0.0;
	need.fullyListed = need.noLoadYet || _seen.listed;
	if (_seen.settled)
	{
		return need;
	}
	const unsigned guess = _seen.firstStart ? initialServers(_scaling) : _seen.running;
	need.desired = std::max(need.desired, guess);
	// At the first start of the system, half is required, so that the start does not wait for on-demand
	// capacity.
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
	std::vector<std::string> withSpot;
	for (const std::string& name : names)
	{
		spread[name] = std::min(std::max(1u, _scaling.minimum), _scaling.maximum);
		const auto zone = m_zones.find(name);
		if (zone == m_zones.end() || !zone->second.spotUnavailable)
		{
			withSpot.push_back(name);
			left -= std::min(left, spread[name]);
		}
	}
	// Spot capacity that one data centre refuses is ordered in the others, still at the spot price.
	const std::vector<std::string>& targets = withSpot.empty() ? names : withSpot;
	// The spread is even, from the cheapest on: a reclaim takes all spot capacity of one data centre.
	while (left > 0)
	{
		bool placed = false;
		for (const std::string& name : targets)
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

void CapacityPlanner::DelayedDecrease::update(unsigned _wanted, Micros _releaseDelay, Micros _now)
{
	if (_wanted >= count || _now - neededAt > _releaseDelay)
	{
		count = _wanted;
	}
	if (_wanted >= count)
	{
		neededAt = _now;
	}
}

bool CapacityPlanner::isOrderDue(const LastOrder& _lastOrder, unsigned _wanted, unsigned _running, Micros _bootTime,
								 Micros _now) const
{
	if (!_lastOrder.accepted || _lastOrder.count != _wanted)
	{
		return _now - _lastOrder.at >= kResend || _lastOrder.count != _wanted;
	}
	return _running != _wanted && _now - _lastOrder.at > _bootTime + kBootSlack;
}

bool CapacityPlanner::isBooting(const LastOrder& _lastOrder, Micros _bootTime, Micros _now) const
{
	return _lastOrder.accepted && _now - _lastOrder.at <= _bootTime + kBootSlack;
}

std::vector<CapacityOrder> CapacityPlanner::plan(const ScalingSettings& _scaling,
												 const std::map<std::string, ZoneCapacity>& _zones,
												 const Need& _need, Micros _now)
{
	std::vector<CapacityOrder> orders;
	const unsigned running = planSpot(_scaling, _zones, _need, _now, orders);
	const bool unanswered = std::any_of(m_zones.begin(), m_zones.end(),
										[](const auto& _entry) { return _entry.second.spot.at == kLongAgo; });
	if (_need.fullyListed && !(_need.noLoadYet && unanswered))
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
		const bool expected = _need.noLoadYet && isBooting(zone.spot, _scaling.bootTime, _now);
		running += expected ? std::max(capacity.spot, zone.spot.count) : capacity.spot;
		if (capacity.reclaiming)
		{
			zone.spotBlockedUntil = std::max(zone.spotBlockedUntil, _now + kSpotRetry);
			zone.spotUnavailable = true;
		}
		// A data centre without spot capacity is asked for the share that it would get if it had some.
		zone.spotTarget.update(zone.spotUnavailable ? std::max(wanted, evenShare) : wanted, kSpotRelease, _now);
		const unsigned released = std::min(surplus, capacity.spot - std::min(capacity.spot, zone.spotTarget.count));
		surplus -= released;
		const unsigned count = std::max(zone.spotTarget.count, capacity.spot - released);
		const bool blocked = zone.spotBlockedUntil > _now;
		if (!blocked && isOrderDue(zone.spot, count, capacity.spot, _scaling.bootTime, _now))
		{
			_orders.push_back({name, true, count});
		}
	}
	return running;
}

unsigned CapacityPlanner::spotSurplus(const std::map<std::string, ZoneCapacity>& _zones, unsigned _desired) const
{
	unsigned running = 0;
	for (const auto& [name, capacity] : _zones)
	{
		running += capacity.spot;
	}
	return anySpotUnavailable() ? 0 : running - std::min(running, _desired);
}

bool CapacityPlanner::anySpotUnavailable() const
{
	return std::any_of(m_zones.begin(), m_zones.end(),
					   [](const auto& _entry) { return _entry.second.spotUnavailable; });
}

unsigned CapacityPlanner::spotAtRisk(const std::map<std::string, ZoneCapacity>& _zones) const
{
	unsigned most = 0;
	for (const auto& [name, capacity] : _zones)
	{
		most = std::max(most, capacity.spot);
	}
	return anySpotUnavailable() ? most : 0;
}

void CapacityPlanner::planOnDemand(const ScalingSettings& _scaling,
								   const std::map<std::string, ZoneCapacity>& _zones, unsigned _missing,
								   Micros _now, std::vector<CapacityOrder>& _orders)
{
	for (const auto& [name, wanted] : spreadOnDemand(_scaling, _zones, _missing))
	{
		ZonePlan& zone = m_zones[name];
		zone.onDemandTarget.update(wanted, kOnDemandRelease, _now);
		if (isOrderDue(zone.onDemand, zone.onDemandTarget.count, _zones.at(name).onDemand, _scaling.bootTime, _now))
		{
			_orders.push_back({name, false, zone.onDemandTarget.count});
		}
	}
}

std::map<std::string, unsigned> CapacityPlanner::spreadOnDemand(const ScalingSettings& _scaling,
																const std::map<std::string, ZoneCapacity>& _zones,
																unsigned _missing)
{
	std::map<std::string, unsigned> counts;
	const std::vector<std::string> names = byPrice(_scaling, _zones);
	// Running servers are kept before new ones are started.
	for (const std::string& name : names)
	{
		const unsigned keptServers = std::min(_missing, _zones.at(name).onDemand);
		counts[name] = keptServers;
		_missing -= keptServers;
	}
	for (const std::string& name : names)
	{
		const unsigned planned = _zones.at(name).spot + counts[name];
		const unsigned room = _scaling.maximum - std::min(_scaling.maximum, planned);
		const unsigned added = std::min(_missing, room);
		counts[name] += added;
		_missing -= added;
	}
	return counts;
}

void CapacityPlanner::onAnswer(const CapacityOrder& _order, bool _accepted, bool _refused, Micros _now)
{
	ZonePlan& zone = m_zones[_order.dataCentre];
	LastOrder& lastOrder = _order.spot ? zone.spot : zone.onDemand;
	lastOrder = {_order.count, _accepted, _now};
	if (_refused && _order.spot)
	{
		zone.spotBlockedUntil = _now + kSpotRetry;
		zone.spotUnavailable = true;
	}
	if (_accepted && _order.spot)
	{
		zone.spotUnavailable = false;
	}
}

} // namespace beacongate
