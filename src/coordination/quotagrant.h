// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages between gateways for requests that need a grant of their team's quota.
///
/// If a team may have fewer requests a second than there are gateways, the requests that all gateways admit before
/// their reports reach each other exceed the limit many times over. Such requests are granted one by one, for each
/// team by one gateway: the grantor.

#ifndef BEACONGATE_COORDINATION_QUOTAGRANT_H
#define BEACONGATE_COORDINATION_QUOTAGRANT_H

#include "beacongate/types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace beacongate
{
/// Asks a grantor for a grant.
struct QuotaGrantRequest
{
	/// Number given by the requester; the same for each grantor that it asks for one request.
	std::uint64_t id = 0;
	std::string team;
	double amount = 0.0;
};

/// Outcome of a grant request. The values are part of the wire format.
enum class GrantOutcome : std::uint8_t
{
	Granted,
	Refused, ///< The team's bucket is empty.
	Later,   ///< The grantor has just resumed from a stall and will soon know what is left: ask it again.
	Unable,  ///< The grantor does not know what is left: ask another one.
};

/// Answer of a grantor.
struct QuotaGrantAnswer
{
	std::uint64_t id = 0;
	GrantOutcome outcome = GrantOutcome::Unable;
	Micros wait = 0; ///< Refusals only: time until the bucket is likely to have something left.
	Micros hold = 0; ///< Refusals only: time for which the requester refuses the team's requests without asking.
	std::string team;
	double amount = 0.0;
};

/// Returns a grant that was not used.
struct QuotaGrantReturn
{
	std::string team;
	double amount = 0.0;
};

using QuotaMessage = std::variant<QuotaGrantRequest, QuotaGrantAnswer, QuotaGrantReturn>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAGRANT_H
