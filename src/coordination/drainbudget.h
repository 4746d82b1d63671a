// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How the span between a backend server's departure and the last request that may reach it is spent.

#ifndef BEACONGATE_COORDINATION_DRAINBUDGET_H
#define BEACONGATE_COORDINATION_DRAINBUDGET_H

#include "beacongate/types.h"

namespace beacongate
{
/// Shares of that span. A request goes out only by a list of backend servers that was asked for within
/// `maxListAge`, whatever the store's speed, so that what is left covers what comes after the look at the list: the
/// way to the server, and a process on either side that gets no processor time for a moment. With the bound at 3 s
/// that is 0.75 s; gateways and servers that were held up for 0.1 to 0.5 s at a time kept the bound of 2 s in
/// soaks.
struct DrainBudget
{
	/// @param[in] _bound From a departure's record until no request may reach the server.
	explicit constexpr DrainBudget(Micros _bound)
		: listReadAge(_bound * 45 / 100), secondReadDelay(_bound * 25 / 100), storeTimeout(_bound * 60 / 100),
		  maxListAge(_bound * 75 / 100)
	{
	}

	/// Age at which the list is read by itself. The usual reads confirm it every 0.8 s at the latest, which is less
	/// than this with the smallest bound that is in use, 2 s: then nothing is read besides.
	Micros listReadAge;
	/// Until the list is asked for a second time, where the first read has brought nothing yet.
	Micros secondReadDelay;
	/// Silence of the store after which it counts as out of reach. An answer that takes so long, and the wait for
	/// the read that follows it by kListReadInterval, make a list that is still no older than `maxListAge`: every
	/// store that is quicker keeps the gateway supplied, once ListReadPace asks that often. A slower one cannot be
	/// told from one that is down.
	Micros storeTimeout;
	/// Greatest age of a list that requests are sent by while the store is in reach.
	Micros maxListAge;
};

/// Between two reads of the list that overlap while the store answers slowly.
inline constexpr Micros kListReadInterval = 250 * kMillisecond;

static_assert(DrainBudget(2 * kSecond).storeTimeout + kListReadInterval < DrainBudget(2 * kSecond).maxListAge);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DRAINBUDGET_H
