// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Soaks in which backend servers leave continually: seeds that failed before, with as many gateways as CI can run.

#include "soakrun.h"

namespace beacongate::test
{
namespace
{
constexpr Micros kSpan = 25 * kSecond;
}

// Guards against a store read that times out being treated as an outage, in which a server without a record is used
// for two more seconds: 51 to 80 of 7,700 requests were late (gatewayslowstoretest).
TEST(SoakDepartures, seed3)
{
	expectPromisesKept({soak::SoakProfile::Departures, 3, 8, 16, kSpan});
}

// Guards against the same fault, combined with lists up to 2.2 s old: 69 to 123 of 7,500 requests were late.
TEST(SoakDepartures, seed4)
{
	expectPromisesKept({soak::SoakProfile::Departures, 4, 8, 16, kSpan});
}

// Guards against a relay that does not report the end of a record that it never saw: 48 of 8,000 requests were
// late, by lists that appeared to be 0.1 s to 0.9 s old (gatewayrelaytest).
TEST(SoakDepartures, seed405)
{
	expectPromisesKept({soak::SoakProfile::NarrowDepartures, 405, 8, 16, kSpan});
}

} // namespace beacongate::test
