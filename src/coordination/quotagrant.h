// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What gateways tell each other of requests that need a grant of their team's quota.
///
/// Where a team may have fewer requests a second than there are gateways, what each of them may let through before
/// it hears of the others adds up to many times the limit. Such requests are granted one by one, by one gateway for
/// each team: the grantor.

#ifndef BEACONGATE_COORDINATION_QUOTAGRANT_H
#define BEACONGATE_COORDINATION_QUOTAGRANT_H

#include "beacongate/types.h"

#include <cstdint>
#include <string>
#include <variant>

namespace beacongate
{
/// A gateway asks a grantor for a grant.
struct QuotaGrantRequest
{
	std::uint64_t id = 0; ///< The asker's; the same at each grantor that it asks for one request.
	std::string team;
	double amount = 0.0;
};

/// What a grantor decided.
enum class GrantOutcome : std::uint8_t
{
	Granted,
	Refused, ///< Nothing is left of the team's bucket.
	Later,   ///< It stood still and will know within moments what is left: it may be asked again.
	Unable,  ///< It does not know what is left: another grantor has to be asked.
};

/// A grantor's answer.
struct QuotaGrantAnswer
{
	std::uint64_t id = 0;
	GrantOutcome outcome = GrantOutcome::Unable;
	Micros wait = 0; ///< Of a refusal: until something is likely to be left.
	Micros hold = 0; ///< Of a refusal: for which the asker refuses the team's requests without asking.
	std::string team;
	double amount = 0.0;
};

/// A gateway gives a grant back that it did not use.
struct QuotaGrantReturn
{
	std::string team;
	double amount = 0.0;
};

using QuotaMessage = std::variant<QuotaGrantRequest, QuotaGrantAnswer, QuotaGrantReturn>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAGRANT_H
