// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Divides the time between a backend server's departure and the last request that may reach it.

#ifndef BEACONGATE_COORDINATION_DRAINBUDGET_H
#define BEACONGATE_COORDINATION_DRAINBUDGET_H

#include "beacongate/types.h"

namespace beacongate
{
/// Shares of the bound on departures. A request is sent only by a list of backend servers that was requested
/// within `maxListAge`, whatever the store's speed. The rest of the bound covers what happens after the list
/// was consulted: the network path to the server, and short stalls of the process on either side. With a bound
/// of 3 s the rest is 0.75 s; in soaks, gateways and servers that stalled for 0.1 to 0.5 s at a time kept the
/// bound of 2 s.
struct DrainBudget
{
	/// @param[in] _bound Time from a departure's record until no request may reach the server.
	explicit constexpr DrainBudget(Micros _bound)
		: listReadAge(_bound * 45 / 100), secondReadDelay(_bound * 25 / 100), storeTimeout(_bound * 60 / 100),
		  maxListAge(_bound * 75 / 100)
	{
	}

	/// Age at which the list is read separately. Regular reads confirm it every 0.8 s at the latest, which is
	/// less than this age with the smallest bound in use, 2 s: no separate read is needed then.
	Micros listReadAge;
	/// Delay after which the list is read a second time while the first read has delivered nothing.
	Micros secondReadDelay;
	/// Silence after which the store counts as unreachable. An answer that takes this long, plus the wait of
	/// kListReadInterval for the next read, still gives a list no older than `maxListAge`: every faster store
	/// keeps the gateway supplied, once ListReadPace reads at that interval. A slower store cannot be
	/// distinguished from one that is down.
	Micros storeTimeout;
	/// Greatest age of a list by which requests are sent while the store is reachable.
	Micros maxListAge;
};

/// Interval between overlapping reads of the list while the store answers slowly.
inline constexpr Micros kListReadInterval = 250 * kMillisecond;

static_assert(DrainBudget(2 * kSecond).storeTimeout + kListReadInterval < DrainBudget(2 * kSecond).maxListAge);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DRAINBUDGET_H
