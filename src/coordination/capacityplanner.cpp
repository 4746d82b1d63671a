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
constexpr double kSlotUse = 0.85;   ///< A larger share of slots is not held without requests that wait.
constexpr double kLeastPace = 0.25; ///< Share of time that is left to tokens, however much is read.
constexpr double kSaturated = 0.85; ///< Share of slots held from which the load cannot be read off them any more.
constexpr double kGrowth = 1.5;     ///< Of what stands, where it is saturated.

double priceOf(const ScalingSettings& scaling, const std::string& zone)
{
	const auto it = scaling.zonePrices.find(zone);
	return it == scaling.zonePrices.end() ? 1.0 : it->second;
}

std::vector<std::string> byPrice(const ScalingSettings& scaling, const std::map<std::string, ZoneCapacity>& zones)
{
	std::vector<std::string> names;
	names.reserve(zones.size());
	for (const auto& [name, capacity] : zones)
	{
		names.push_back(name);
	}
	std::stable_sort(names.begin(), names.end(),
					 [&](const std::string& left, const std::string& right)
					 { return priceOf(scaling, left) < priceOf(scaling, right); });
	return names;
}
} // namespace

double CapacityPlanner::combinedWork(double reading, double occupied, unsigned standing)
{
	// Reading slows the tokens of requests beside it down, so that these hold their slots for longer than they
	// will where the reading is spread over enough backend servers.
	const double present = std::max(1u, standing);
	const double pace = std::clamp(1.0 - reading / present, kLeastPace, 1.0);
	const double work = reading + occupied * pace / kSlotUse;
	return occupied >= kSaturated * present ? std::max(work, kGrowth * present) : work;
}

unsigned CapacityPlanner::serversFor(double work)
{
	const double forVariation = kSpareFactor * std::sqrt(std::max(0.0, work)) + kSpareServers;
	return static_cast<unsigned>(std::ceil(work + std::max(forVariation, kSpareShare * work)));
}

unsigned CapacityPlanner::firstGuess(const ScalingSettings& scaling)
{
	const auto perZone = static_cast<unsigned>(std::lround(scaling.maximum * kFirstShare));
	const auto zones = static_cast<unsigned>(scaling.zonePrices.size());
	return std::max({1u, scaling.minimum, perZone}) * std::max(1u, zones);
}

CapacityPlanner::Need CapacityPlanner::needFor(const ScalingSettings& _scaling, const Observation& _seen)
{
	Need need;
	need.wished = serversFor(_seen.work);
	need.required = serversRequired(_seen.work);
	need.idle = _seen.firstStart && _seen.work <= 0.0;
	need.known = need.idle || _seen.listed;
	if (_seen.settled)
	{
		return need;
	}
	const unsigned guess = _seen.firstStart ? firstGuess(_scaling) : _seen.standing;
	need.wished = std::max(need.wished, guess);
	// At the very first start, on-demand capacity is not waited for.
	need.required = std::max(need.required, _seen.firstStart ? guess / 2 : guess);
	return need;
}

unsigned CapacityPlanner::serversRequired(double work)
{
	return static_cast<unsigned>(
		std::ceil(work + kRequiredFactor * std::sqrt(std::max(0.0, work)) + kRequiredServers));
}

std::map<std::string, unsigned> CapacityPlanner::spreadSpot(const ScalingSettings& scaling,
															const std::map<std::string, ZoneCapacity>& zones,
															unsigned needed) const
{
	std::map<std::string, unsigned> spread;
	const std::vector<std::string> names = byPrice(scaling, zones);
	const auto most = static_cast<unsigned>(names.size()) * scaling.maximum;
	unsigned left = std::min(needed, most);
	std::vector<std::string> open;
	for (const std::string& name : names)
	{
		spread[name] = std::min(std::max(1u, scaling.minimum), scaling.maximum);
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
			if (left > 0 && spread[name] < scaling.maximum)
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

void CapacityPlanner::Held::update(unsigned wanted, Micros releaseDelay, Micros now)
{
	if (wanted >= count || now - needed > releaseDelay)
	{
		count = wanted;
	}
	if (wanted >= count)
	{
		needed = now;
	}
}

bool CapacityPlanner::due(const Ordered& ordered, unsigned wanted, unsigned standing, Micros bootTime,
						  Micros now) const
{
	if (!ordered.known || ordered.count != wanted)
	{
		return now - ordered.at >= kResend || ordered.count != wanted;
	}
	return standing != wanted && now - ordered.at > bootTime + kBootSlack;
}

bool CapacityPlanner::onItsWay(const Ordered& ordered, Micros bootTime, Micros now) const
{
	return ordered.known && now - ordered.at <= bootTime + kBootSlack;
}

std::vector<CapacityOrder> CapacityPlanner::plan(const ScalingSettings& scaling,
												 const std::map<std::string, ZoneCapacity>& zones, const Need& need,
												 Micros now)
{
	std::vector<CapacityOrder> orders;
	const unsigned standing = planSpot(scaling, zones, need, now, orders);
	const bool unanswered = std::any_of(m_zones.begin(), m_zones.end(),
										[](const auto& entry) { return entry.second.spot.at == kLongAgo; });
	if (need.known && !(need.idle && unanswered))
	{
		const unsigned missing = need.required > standing ? need.required - standing : 0;
		planOnDemand(scaling, zones, missing, now, orders);
	}
	return orders;
}

unsigned CapacityPlanner::planSpot(const ScalingSettings& scaling, const std::map<std::string, ZoneCapacity>& zones,
								   const Need& need, Micros now, std::vector<CapacityOrder>& orders)
{
	unsigned standing = 0;
	const unsigned evenShare =
		std::min(need.wished / std::max(1u, static_cast<unsigned>(zones.size())), scaling.maximum);
	for (const auto& [name, wanted] : spreadSpot(scaling, zones, need.wished))
	{
		const ZoneCapacity& capacity = zones.at(name);
		ZonePlan& zone = m_zones[name];
		const bool expected = need.idle && onItsWay(zone.spot, scaling.bootTime, now);
		standing += expected ? std::max(capacity.spot, zone.spot.count) : capacity.spot;
		if (capacity.reclaiming)
		{
			zone.spotBlockedUntil = std::max(zone.spotBlockedUntil, now + kSpotRetry);
			zone.spotDry = true;
		}
		// A dry data centre is asked for what it would give were it not dry.
		zone.spotHeld.update(zone.spotDry ? std::max(wanted, evenShare) : wanted, kSpotRelease, now);
		const bool blocked = zone.spotBlockedUntil > now;
		if (!blocked && due(zone.spot, zone.spotHeld.count, capacity.spot, scaling.bootTime, now))
		{
			orders.push_back({name, true, zone.spotHeld.count});
		}
	}
	return standing;
}

void CapacityPlanner::planOnDemand(const ScalingSettings& scaling, const std::map<std::string, ZoneCapacity>& zones,
								   unsigned missing, Micros now, std::vector<CapacityOrder>& orders)
{
	for (const auto& [name, wanted] : makeUp(scaling, zones, missing))
	{
		ZonePlan& zone = m_zones[name];
		zone.onDemandHeld.update(wanted, kOnDemandRelease, now);
		if (due(zone.onDemand, zone.onDemandHeld.count, zones.at(name).onDemand, scaling.bootTime, now))
		{
			orders.push_back({name, false, zone.onDemandHeld.count});
		}
	}
}

std::map<std::string, unsigned> CapacityPlanner::makeUp(const ScalingSettings& scaling,
														const std::map<std::string, ZoneCapacity>& zones,
														unsigned missing)
{
	std::map<std::string, unsigned> counts;
	const std::vector<std::string> names = byPrice(scaling, zones);
	// What stands is kept before anything new is started.
	for (const std::string& name : names)
	{
		const unsigned kept = std::min(missing, zones.at(name).onDemand);
		counts[name] = kept;
		missing -= kept;
	}
	for (const std::string& name : names)
	{
		const unsigned taken = zones.at(name).spot + counts[name];
		const unsigned room = scaling.maximum - std::min(scaling.maximum, taken);
		const unsigned added = std::min(missing, room);
		counts[name] += added;
		missing -= added;
	}
	return counts;
}

void CapacityPlanner::onAnswer(const CapacityOrder& order, bool taken, bool refused, Micros now)
{
	ZonePlan& zone = m_zones[order.dataCentre];
	Ordered& ordered = order.spot ? zone.spot : zone.onDemand;
	ordered = {order.count, taken, now};
	if (refused && order.spot)
	{
		zone.spotBlockedUntil = now + kSpotRetry;
		zone.spotDry = true;
	}
	if (taken && order.spot)
	{
		zone.spotDry = false;
	}
}

} // namespace beacongate
