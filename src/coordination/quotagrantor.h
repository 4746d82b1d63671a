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
/// Decides on asks by this gateway's ledger, which counts what it grants as taken here: the others hear of it as of
/// any taking. A bounded number of asks reaches it, whatever the team asks for: what it refuses tells the asker for
/// how long to refuse without asking.
class QuotaGrantor
{
public:
	/// Asks a second for one team that are answered with no more hold than until something is left.
	static constexpr double kAsksAllowed = 50.0;
	/// Asks a second for each request that the limit allows: with fewer, what is left would not be asked for.
	static constexpr double kAsksForEachGrant = 2.0;
	static constexpr Micros kLongestHold = 2 * kSecond;

	explicit QuotaGrantor(QuotaLedger& _ledger) : m_ledger(_ledger)
	{
	}

	/// Decides for a gateway.
	QuotaGrantAnswer decide(const QuotaGrantRequest& _ask, const std::string& _asker, Micros _now);

	/// A gateway gives a grant back.
	void onReturn(const QuotaGrantReturn& _return, Micros _now);

private:
	/// Gateways that asked of late.
	struct Askers
	{
		std::set<std::string> now; ///< In this span.
		std::set<std::string> before;
		Micros began = kLongAgo;
	};

	/// Grants of late, by asker and ask, so that an ask that comes twice is charged once.
	struct Grants
	{
		std::set<std::pair<std::string, std::uint64_t>> now; ///< In this span.
		std::set<std::pair<std::string, std::uint64_t>> before;
		Micros began = kLongAgo;
	};

	/// @returns whether an ask was granted before.
	bool wasGranted(const std::string& _asker, std::uint64_t _id, Micros _now);

	/// Counts an asker.
	/// @returns how many there were of late.
	std::size_t count(const std::string& _team, const std::string& _asker, Micros _now);

	QuotaLedger& m_ledger;
	std::map<std::string, Askers> m_askers; ///< By team; for limited teams alone.
	Grants m_grants;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_QUOTAGRANTOR_H
