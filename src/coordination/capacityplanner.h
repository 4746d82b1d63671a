// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Plans how many backend servers of which kind to order in each data centre.

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
	unsigned onDemand = 0;   ///< On-demand backend servers that take new work.
	unsigned spot = 0;       ///< Spot backend servers that take new work.
	bool reclaiming = false; ///< Spot capacity of this data centre is being reclaimed.
};

/// An order for a number of backend servers of one kind in one data centre.
struct CapacityOrder
{
	std::string dataCentre;
	bool spot = false;
	unsigned count = 0;
	auto operator<=>(const CapacityOrder&) const = default;
};

/// Detects when all on-demand capacity that ran when this gateway began to plan is listed. Capacity that is
/// added later comes from its own orders and is not waited for.
class InitialListing
{
public:
	/// When no further backend server was listed for this long, all are taken to be listed.
	static constexpr Micros kSettleTime = 2500 * kMillisecond;
	/// Backend servers that ran at the start are counted within this span: one read of the store and a margin.
	/// Later ones come from orders; if those were kept as well, ever more would be ordered.
	static constexpr Micros kInitialWindow = 1 * kSecond;

	/// Notes what is listed.
	/// @param[in] _onDemand On-demand backend servers.
	/// @param[in] _running Backend servers of both kinds.
	/// @returns true if all capacity is listed; once true, it stays true.
	bool complete(unsigned _onDemand, Micros _now, unsigned _running = 0)
	{
		const bool first = m_grownAt == kLongAgo;
		m_beganAt = first ? _now : m_beganAt;
		m_running = _now - m_beganAt <= kInitialWindow ? std::max(m_running, _running) : m_running;
		if (first || (!m_complete && _onDemand > m_onDemand))
		{
			m_grownAt = _now;
		}
		m_onDemand = std::max(m_onDemand, _onDemand);
		m_complete = m_complete || _now - m_grownAt > kSettleTime;
		return m_complete;
	}

	/// @returns the largest number of on-demand backend servers that were listed at once.
	unsigned onDemand() const
	{
		return m_onDemand;
	}

	/// @returns the largest number of backend servers of both kinds that were listed at once within
	/// kInitialWindow.
	unsigned running() const
	{
		return m_running;
	}

private:
	unsigned m_onDemand = 0;
	unsigned m_running = 0;
	Micros m_beganAt = kLongAgo;
	Micros m_grownAt = kLongAgo;
	bool m_complete = false;
};

/// Plans the capacity of one service. Spot capacity is ordered first, spread over the data centres; missing
/// spot capacity is replaced on demand until it runs.
class CapacityPlanner
{
public:
	/// An accepted order counts as booting for the boot time and this long.
	static constexpr Micros kBootSlack = 1500 * kMillisecond;
	/// Spot capacity is ordered again this long after a reclaim or a refused order.
	static constexpr Micros kSpotRetry = 2500 * kMillisecond;
	/// Spot capacity is kept for this long after it was last needed.
	static constexpr Micros kSpotRelease = 8 * kSecond;
	/// On-demand capacity is kept for less, since it costs several times as much and is available again after a
	/// boot.
	static constexpr Micros kOnDemandRelease = 2 * kSecond;

	/// Combines the two ways in which a load occupies engines: prefill, during which no token is generated, and
	/// slots that are held while tokens are generated. Of n engines, each has the share 1 - prefill / n of its
	/// time for generating tokens, so that slots are held longer by the inverse of that share. The slots
	/// suffice if occupied / (1 - prefill / n) is at most the share of n that can be held, that is, if n is at
	/// least prefill + occupied / share. The result does not depend on how many engines run.
	/// @param[in] _prefill Backend servers kept busy by prefill.
	/// @param[in] _occupied Backend servers whose slots would all be held if tokens were generated all the
	/// time.
	/// @returns the number of backend servers that the load would keep busy all the time.
	static double combinedWork(double _prefill, double _occupied);

	/// @param[in] _work Backend servers that the present load would keep busy all the time.
	/// @returns the number of backend servers to run at the spot price, so that a burst or a lost data centre
	/// is absorbed.
	static unsigned serversDesired(double _work);

	/// @returns the number of backend servers to run at any price.
	static unsigned serversRequired(double _work);

	/// @returns the number of backend servers to order before any load is known.
	static unsigned initialServers(const ScalingSettings& _scaling);

	/// Capacity that a load requires.
	struct Need
	{
		unsigned desired = 0;     ///< Backend servers to run at the spot price.
		unsigned required = 0;    ///< Backend servers to run at any price.
		bool fullyListed = false; ///< All running capacity is listed, so that on-demand capacity may be changed.
		bool noLoadYet = false;   ///< No load is known yet: ordered spot capacity counts as running.
	};

	/// Load and capacity of a service as the planning gateway observed them.
	struct Observation
	{
		double work = 0.0;       ///< Backend servers that the load keeps busy, as far as known.
		bool settled = false;    ///< The load was observed for long enough to be trusted.
		bool firstStart = false; ///< The whole system is starting, so that there is no load yet.
		bool listed = false;     ///< All on-demand capacity is listed.
		unsigned running = 0;    ///< Backend servers of both kinds that ran when this gateway began to plan.
	};

	/// @returns the capacity to order. While a gateway that started during operation does not know the load, it
	/// keeps the running capacity, since the gateway that planned before it ordered that capacity for a known
	/// load.
	static Need needFor(const ScalingSettings& _scaling, const Observation& _seen);

	/// @returns the orders to send now; an order is repeated after a while as long as its capacity does not
	/// run.
	std::vector<CapacityOrder> plan(const ScalingSettings& _scaling,
									const std::map<std::string, ZoneCapacity>& _zones, const Need& _need,
									Micros _now);

	/// Notes the platform's answer to an order.
	/// @param[in] _accepted The platform accepted the order.
	/// @param[in] _refused The platform has no such capacity at present.
	void onAnswer(const CapacityOrder& _order, bool _accepted, bool _refused, Micros _now);

private:
	struct LastOrder
	{
		unsigned count = 0;
		bool accepted = false; ///< The platform accepted it.
		Micros at = kLongAgo;
	};

	/// A count that increases at once and decreases only after a delay.
	struct DelayedDecrease
	{
		unsigned count = 0;
		Micros neededAt = kLongAgo; ///< When the count was last needed.

		void update(unsigned _wanted, Micros _releaseDelay, Micros _now);
	};

	struct ZonePlan
	{
		LastOrder onDemand;
		LastOrder spot;
		Micros spotBlockedUntil = kLongAgo;
		bool spotUnavailable = false; ///< Spot capacity was reclaimed or refused, and none was granted since.
		DelayedDecrease onDemandTarget;
		DelayedDecrease spotTarget;
	};

	/// Adds the spot orders that are due.
	/// @returns the running spot capacity.
	unsigned planSpot(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones,
					  const Need& _need, Micros _now, std::vector<CapacityOrder>& _orders);
	/// @returns how much of the running spot capacity may be released: what exceeds the desired number, and
	/// nothing while a data centre has no spot capacity. Reclaims hit one data centre after another, and what
	/// is released meanwhile has to be replaced on demand at several times the price, a boot time late. With
	/// the desired number spread evenly over all data centres, 23 of 44 backend servers were released 1 s
	/// before the rest was reclaimed (78 gateways).
	unsigned spotSurplus(const std::map<std::string, ZoneCapacity>& _zones, unsigned _desired) const;
	/// @returns the spot capacity that the next reclaim would take while a data centre has no spot capacity:
	/// nothing would replace it, and on-demand capacity that is ordered after the reclaim comes a boot time
	/// late. With replacements ordered beforehand, four reclaims within 18 s leave 37 of 37 required engines;
	/// without, 15 to 22 (capacitytest).
	unsigned spotAtRisk(const std::map<std::string, ZoneCapacity>& _zones) const;
	bool anySpotUnavailable() const;
	void planOnDemand(const ScalingSettings& _scaling, const std::map<std::string, ZoneCapacity>& _zones,
					  unsigned _missing, Micros _now, std::vector<CapacityOrder>& _orders);
	std::map<std::string, unsigned> spreadSpot(const ScalingSettings& _scaling,
											   const std::map<std::string, ZoneCapacity>& _zones,
											   unsigned _needed) const;
	static std::map<std::string, unsigned> spreadOnDemand(const ScalingSettings& _scaling,
														  const std::map<std::string, ZoneCapacity>& _zones,
														  unsigned _missing);
	bool isBooting(const LastOrder& _lastOrder, Micros _bootTime, Micros _now) const;
	bool isOrderDue(const LastOrder& _lastOrder, unsigned _wanted, unsigned _running, Micros _bootTime,
					Micros _now) const;

	std::map<std::string, ZonePlan> m_zones;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CAPACITYPLANNER_H
