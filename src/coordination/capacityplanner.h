// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How many backend servers of which kind to order in each data centre.

#ifndef BEACONGATE_COORDINATION_CAPACITYPLANNER_H
#define BEACONGATE_COORDINATION_CAPACITYPLANNER_H

#include "beacongate/routing.h"
#include "coordination/directory.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Backend servers of one service in one data centre, as the store lists them.
struct ZoneCapacity
{
	unsigned onDemand = 0;   ///< That take new work.
	unsigned spot = 0;       ///< That take new work.
	bool reclaiming = false; ///< Spot capacity of this data centre is being taken away.
};

/// An order: so many of this kind in this data centre.
struct CapacityOrder
{
	std::string dataCentre;
	bool spot = false;
	unsigned count = 0;
	auto operator<=>(const CapacityOrder&) const = default;
};

/// Whether all on-demand capacity that stood when this gateway began to look is listed. What grows later grows by
/// its own orders and is no reason to wait.
class InitialListing
{
public:
	/// Without another backend server for this long, all are taken to be listed.
	static constexpr Micros kSettled = 2500 * kMillisecond;
	/// What stood at the start is looked for within this long, one read of the store and a little more. What comes
	/// later comes from orders, and to keep that too would order ever more.
	static constexpr Micros kFirstLook = 1 * kSecond;

	/// Looks at what is listed.
	/// @param[in] _standing Backend servers of both kinds.
	/// @returns whether that is all; once it is, it stays so.
	bool complete(unsigned _onDemand, Micros _now, unsigned _standing = 0)
	{
		const bool first = m_grown == kLongAgo;
		m_began = first ? _now : m_began;
		m_standing = _now - m_began <= kFirstLook ? std::max(m_standing, _standing) : m_standing;
		if (first || (!m_complete && _onDemand > m_onDemand))
		{
			m_grown = _now;
		}
		m_onDemand = std::max(m_onDemand, _onDemand);
		m_complete = m_complete || _now - m_grown > kSettled;
		return m_complete;
	}

	/// @returns the most on-demand backend servers that were listed at once.
	unsigned onDemand() const
	{
		return m_onDemand;
	}

	/// @returns the most backend servers of both kinds that were listed at once when this gateway began to look.
	unsigned running() const
	{
		return m_standing;
	}

private:
	unsigned m_onDemand = 0;
	unsigned m_standing = 0;
	Micros m_began = kLongAgo;
	Micros m_grown = kLongAgo;
	bool m_complete = false;
};

/// Plans for one service. Spot is ordered first, spread over data centres; what is missing of it is made up on
/// demand until it stands.
class CapacityPlanner
{
public:
	/// An order that was sent is counted as standing for the boot time and this long.
	static constexpr Micros kBootSlack = 1500 * kMillisecond;
	/// After a reclaim or a refused order, spot is asked for again after this long.
	static constexpr Micros kSpotRetry = 2500 * kMillisecond;
	/// Spot capacity is kept for this long after the last moment that it was needed.
	static constexpr Micros kSpotRelease = 8 * kSecond;
	/// On-demand capacity costs several times as much and is there again after a boot: it is kept for less.
	static constexpr Micros kOnDemandRelease = 2 * kSecond;

	/// Joins the two ways in which a load fills engines: reading prompts, during which no token is made, and
	/// slots held while tokens are made. Of n engines, each has the part 1 - reading / n of its time for tokens, so
	/// that slots are held for so much longer: they suffice where occupied / (1 - reading / n) is at most the share
	/// of n that can be held, thus from n = reading + occupied / share on. How many stand does not matter.
	/// @param[in] reading Backend servers kept busy by reading prompts.
	/// @param[in] occupied Backend servers whose slots would all be held, were tokens made all the time.
	/// @returns backend servers that the load would keep busy all the time.
	static double combinedWork(double _reading, double _occupied);

	/// @param[in] work Backend servers that the present load would keep busy all the time.
	/// @returns backend servers to have at the price of spot, so that a burst or a lost data centre is borne.
	static unsigned serversDesired(double _work);

	/// @returns backend servers to have at any price.
	static unsigned serversRequired(double _work);

	/// @returns backend servers to begin with, before there is any load to go by.
	static unsigned initialServers(const ScalingSettings& _scaling);

	/// What a load calls for.
	struct Need
	{
		unsigned desired = 0;  ///< At the price of spot.
		unsigned required = 0; ///< At any price.
		bool known = false;    ///< What stands is all listed, so that on-demand capacity may be changed.
		bool idle = false;     ///< There is no load yet: spot that was ordered counts as if it stood.
	};

	/// What a gateway that plans has seen of a service.
	struct Observation
	{
		double work = 0.0;       ///< Backend servers that the load keeps busy, as far as it is known.
		bool settled = false;    ///< The load was seen for long enough to be believed.
		bool firstStart = false; ///< The whole system starts, so that there is no load yet.
		bool listed = false;     ///< All on-demand capacity there is was listed.
		unsigned running = 0;    ///< Backend servers of both kinds that stood when it began to plan.
	};

	/// @returns what to order for. While a gateway that started in the middle of a day does not know the load, it
	/// keeps what stands: the one that planned before had reasons for it.
	static Need needFor(const ScalingSettings& _scaling, const Observation& _seen);

	/// @returns what is to be ordered now; each order is returned again after a while as long as it does not stand.
	std::vector<CapacityOrder> plan(const ScalingSettings& _scaling,
									const std::map<std::string, ZoneCapacity>& _zones, const Need& _need,
									Micros _now);

	/// An order was answered.
	/// @param[in] refused There is none to be had at present.
	void onAnswer(const CapacityOrder& _order, bool _taken, bool _refused, Micros _now);

private:
	struct Ordered
	{
		unsigned count = 0;
		bool known = false; ///< It was taken by the platform.
		Micros at = kLongAgo;
	};

	/// A count that grows at once and shrinks only after a while.
	struct Held
	{
		unsigned count = 0;
		Micros needed = kLongAgo; ///< When that many were needed last.

		void update(unsigned _wanted, Micros _releaseDelay, Micros _now);
	};

	struct ZonePlan
	{
		Ordered onDemand;
		Ordered spot;
		Micros spotBlockedUntil = kLongAgo;
		bool spotDry = false; ///< Spot capacity was taken away or refused, and none was given since.
		Held onDemandHeld;
		Held spotHeld;
	};

	/// @returns the spot capacity that stands.
	unsigned planSpot(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones,
					  const Need& _need, Micros _now, std::vector<CapacityOrder>& _orders);
	/// @returns how much of the spot capacity that stands may be released: what is more than wished, and nothing
	/// while a data centre gives none. Reclaims come one data centre after the other, and what goes in such a spell
	/// has to be made up on demand at several times the price, a boot time late. With the wish spread over all data
	/// centres alike, 23 of 44 were released 1 s before a reclaim of the rest (one day with 78 gateways).
	unsigned spotSurplus(const std::map<std::string, ZoneCapacity>& _zones, unsigned _wished) const;
	/// @returns the spot capacity that the next reclaim would take, while a data centre gives none: nothing would
	/// replace it, and what is ordered on demand once it goes comes a boot time late. With it made up beforehand,
	/// four reclaims within 18 s leave 37 of 37 engines that are required; without, 15 to 22 (capacitytest).
	unsigned spotAtRisk(const std::map<std::string, ZoneCapacity>& _zones) const;
	bool anyDry() const;
	void planOnDemand(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones,
					  unsigned _missing, Micros _now, std::vector<CapacityOrder>& _orders);
	std::map<std::string, unsigned> spreadSpot(const ScalingSettings& _scaling,
											   const std::map<std::string, ZoneCapacity>& _zones,
											   unsigned _needed) const;
	static std::map<std::string, unsigned>
	makeUp(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones, unsigned _missing);
	bool onItsWay(const Ordered& _ordered, Micros _bootTime, Micros _now) const;
	bool due(const Ordered& _ordered, unsigned _wanted, unsigned _standing, Micros _bootTime, Micros _now) const;

	std::map<std::string, ZonePlan> m_zones;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CAPACITYPLANNER_H
