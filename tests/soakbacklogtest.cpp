// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A soak in which gateways pause for seconds, in overlapping turns, and the requests that arrived meanwhile are
/// charged at once.
///
/// Failed in one of two runs: teams were refused 106 of 1,267 requests while they asked for less than their limits.
/// In the second in which four of eight gateways resume after 1.9 s to 3.6 s, the team with most of the refusals is
/// refused 73, and the grantor grants 91 from a bucket of about 100. From reading the code, the probable cause is
/// that a bucket of one second cannot cover the requests of three. It is not known which of the 106 refusals fall
/// in that second.

#include "soakrun.h"

namespace beacongate::test
{
TEST(SoakBacklog, seed411)
{
	expectPromisesKept({soak::SoakProfile::Quotas, 411, 8, 8, 20 * kSecond}, SoakPromises::ServedBelowLimit);
}

} // namespace beacongate::test
