// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A soak in which requests that were admitted in time run together, more than a second later.
///
/// What was seen, once, beside other work on the machine: a team ran 607 of 594 requests in 8 s. 91 of them were
/// admitted within 0.1 s and ran 1.2 s later. From 50.5 s to 51.5 s no gateway's log holds an answer, not even a
/// refusal, while their timers ran in time. Open: not proved whether the soak's own process, which holds callers
/// and backend servers, stood still, or something else held the requests.

#include "soakrun.h"

namespace beacongate::test
{
TEST(SoakHeldRequest, seed418)
{
	keepsPromises({soak::SoakProfile::Quotas, 418, 12, 8, 20 * kSecond}, SoakPromises::ButServedBelowLimit);
}

} // namespace beacongate::test
