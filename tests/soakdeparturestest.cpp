// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which backend servers leave all the time: the seeds that ever failed, and as many gateways as CI bears.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 25 * kSecond;
}

// A read of the store that brought nothing in time was taken for an outage, in which a server whose record went is
// used for two more seconds: 51 to 80 late requests of 7,700 (gatewayslowstoretest).
TEST(SoakDepartures, seed3)
{
	keepsPromises({soak::SoakProfile::Departures, 3, 8, 16, kSpan});
}

// The same, with lists up to 2.2 s old beside it: 69 to 123 late requests of 7,500.
TEST(SoakDepartures, seed4)
{
	keepsPromises({soak::SoakProfile::Departures, 4, 8, 16, kSpan});
}

// A relay that had never seen a server's record did not tell of its end: 48 late requests of 8,000, by lists that
// seemed to be 0.1 s to 0.9 s old (gatewayrelaytest).
TEST(SoakDepartures, seed405)
{
	keepsPromises({soak::SoakProfile::NarrowDepartures, 405, 8, 16, kSpan});
}

} // namespace beacongate::test
