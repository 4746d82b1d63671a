// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A soak in which requests that were admitted in time all run more than a second later.
///
/// Failed once, on a busy machine: a team ran 607 requests in 8 s where 594 are allowed. 91 of them were admitted
/// within 0.1 s and ran 1.2 s later. From 50.5 s to 51.5 s no gateway logged an answer or a refusal, while the
/// gateways' timers ran on time. It is not known whether the soak's own process, which contains the callers and
/// backend servers, stalled, or something else delayed the requests.

#include "soakrun.h"

namespace beacongate::test
{
TEST(SoakHeldRequest, seed418)
{
	expectPromisesKept({soak::SoakProfile::Quotas, 418, 12, 8, 20 * kSecond}, SoakPromises::AllButServedBelowLimit);
}

} // namespace beacongate::test
