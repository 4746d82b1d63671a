// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A soak in which admitted requests wait for a newer list of backend servers, and run together.
///
/// What was seen: a team ran 607 of 594 requests in 8 s. 91 of them had been charged 1.2 s before they ran: they
/// waited at all gateways for the list of backend servers while the store gave none, so that 161 ran in one second
/// where 60 are the limit. Open: what waits is charged when it is admitted, not when it runs.

#include "soakrun.h"

namespace beacongate::test
{
TEST(SoakHeldRequest, seed418)
{
	keepsPromises({soak::SoakProfile::Quotas, 418, 12, 8, 20 * kSecond}, SoakPromises::ButServedBelowLimit);
}

} // namespace beacongate::test
