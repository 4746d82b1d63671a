// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Grants teams' quotas to requests at other gateways.

#ifndef BEACONGATE_COORDINATION_QUOTAGRANTOR_H
#define BEACONGATE_COORDINATION_QUOTAGRANTOR_H

#include "coordination/quotagrant.h"
#include "coordination/quotaledger.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace beacongate
{
/// Decides on grant requests by this gateway's ledger, which counts grants as this gateway's own usage, so that the
/// other gateways learn of them from its reports.
/// @remarks The rate of grant requests is bounded, whatever the team's demand is: each refusal states for
/// how long the requester refuses without asking.
class QuotaGrantor
{
public:
	/// Grant requests a second for one team up to which a refusal holds no longer than until something is left.
	static constexpr double kBaseRequestRate = 50.0;
	/// Further grant requests a second for each request a second that the team's limit allows. With fewer, what is
	/// left of the quota would not be requested.
	static constexpr double kRequestsPerGrant = 2.0;
	/// Longest hold of a refusal.
	static constexpr Micros kMaxHold = 2 * kSecond;

	explicit QuotaGrantor(QuotaLedger& _ledger) : m_ledger(_ledger)
	{
	}

	/// Decides on a grant request of a gateway.
	QuotaGrantAnswer decide(const QuotaGrantRequest& _request, const std::string& _requester, Micros _now);

	/// Takes back a grant that a gateway did not use.
	void onReturn(const QuotaGrantReturn& _return, Micros _now);

private:
	/// Gateways that sent grant requests in the current and the previous window.
	struct Requesters
	{
		std::set<std::string> current; ///< Current window.
		std::set<std::string> previous;
		Micros began = kLongAgo;
	};

	/// Recent grants by requester and request number, so that a request that arrives twice is charged once.
	struct Grants
	{
		std::set<std::pair<std::string, std::uint64_t>> current; ///< Current window.
		std::set<std::pair<std::string, std::uint64_t>> previous;
		Micros began = kLongAgo;
	};

	/// @returns true if the request has been granted before.
	bool wasGranted(const std::string& _requester, std::uint64_t _id, Micros _now);

	/// Counts a requester.
	/// @returns the number of gateways that sent requests for the team recently.
	std::size_t countRequester(const std::string& _team, const std::string& _requester, Micros _now);

	QuotaLedger& m_ledger;
	std::map<std::string, Requesters> m_requesters; ///< By team; only teams with a limit.
	Grants m_grants;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAGRANTOR_H
