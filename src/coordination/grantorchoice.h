// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the gateway that grants a team's quota.

#ifndef BEACONGATE_COORDINATION_GRANTORCHOICE_H
#define BEACONGATE_COORDINATION_GRANTORCHOICE_H

#include "beacongate/types.h"

#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Ranks the possible grantors for each team by rendezvous hashing, so that all gateways with the same list agree
/// on the ranking without a message. A gateway that did not answer is skipped for a backoff.
class GrantorChoice
{
public:
	/// Backoff after a first request without an answer. It doubles with each further one, up to kMaxBackoff, since
	/// gateways whose build does not grant never answer.
	static constexpr Micros kInitialBackoff = 1 * kSecond;
	static constexpr Micros kMaxBackoff = 8 * kSecond;

	/// Sets the gateways that may grant.
	void setHosts(std::vector<std::string> _hosts);

	/// @returns the gateways to ask for a team's grants, best first, without those in backoff.
	std::vector<std::string> ranked(const std::string& _team, Micros _now);

	/// Records that a gateway did not answer.
	/// @returns its backoff.
	Micros onSilent(const std::string& _host, Micros _now);

	/// Records that a gateway answered that it does not know what is left.
	/// @returns its backoff, which does not grow.
	Micros onUnable(const std::string& _host, Micros _now);

	/// Records that a gateway granted or refused, which ends its backoff.
	void onAnswered(const std::string& _host)
	{
		m_failed.erase(_host);
	}

private:
	struct Failure
	{
		Micros retryAt = 0;
		Micros backoff = 0;
	};

	const std::vector<std::string>& rankingOf(const std::string& _team);

	std::vector<std::string> m_hosts;                           ///< Sorted.
	std::map<std::string, std::vector<std::string>> m_rankings; ///< Ranking of all hosts by team.
	std::map<std::string, Failure> m_failed;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GRANTORCHOICE_H
