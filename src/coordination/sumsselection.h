// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Selects the part of the fleet's sums that a collector sends in one answer. Its size does not grow with the teams
/// and backend servers, and shrinks as the data centre grows, down to SumsBudget::kMinAnswerBytes.

#ifndef BEACONGATE_COORDINATION_SUMSSELECTION_H
#define BEACONGATE_COORDINATION_SUMSSELECTION_H

#include "beacongate/limits.h"
#include "coordination/gossip.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// What one answer may contain.
struct SumsBudget
{
	/// Bytes a second of all answers of a collector: half of a link of 20 Mbit/s.
	static constexpr std::size_t kBytesPerSecond = 1'250'000;
	/// Smallest and largest size of an answer that the budget gives.
	static constexpr std::size_t kMinAnswerBytes = 1'200;
	static constexpr std::size_t kMaxAnswerBytes = 8'000;
	/// Size of an answer without teams and loads, with addresses and network headers.
	static constexpr std::size_t kFixedBytes = 400;
	/// Size of a team's counter; names have some ten letters.
	static constexpr std::size_t kTeamBytes = 22;
	static constexpr std::size_t kLoadBytes = 7; ///< Size of a backend server's load.

	std::size_t teams = 0; ///< Teams in one answer.
	std::size_t loads = 0; ///< Backend servers in one answer.

	/// @param[in] _gateways Gateways of the data centre, each of which gets an answer in each round.
	static SumsBudget of(std::size_t _gateways)
	{
		constexpr std::size_t kRoundsPerSecond = kSecond / limits::kCollectorRound;
		const std::size_t share = kBytesPerSecond / (kRoundsPerSecond * std::max<std::size_t>(1, _gateways));
		const std::size_t bytes = std::clamp(share, kMinAnswerBytes, kMaxAnswerBytes) - kFixedBytes;
		return {bytes / 2 / kTeamBytes, bytes / 2 / kLoadBytes};
	}
};

/// Reduces loads to those of the busiest backend servers. The others count as idle at the receiver.
/// @param[in] _count Largest number of loads to keep.
void keepBusiest(std::vector<BackendLoad>& _loads, std::size_t _count);

/// Selects the teams of each answer. A gateway is told of the teams that it serves in every answer, and of the
/// others in turn. Counters only grow, so that nothing is lost by telling them later.
/// @remarks A gateway that hears a collector for the first time takes the first counters as what was used before.
/// It is therefore told all teams until it has confirmed one of these answers.
class TeamSelection
{
public:
	/// Time for which a team counts as served by a gateway after a report in which its counter grew.
	static constexpr Micros kServedSpan = TokenBucket::kHistory;
	/// Least number of answers with all teams.
	static constexpr std::size_t kWholeAnswers = 4;

	/// Records a report of a gateway.
	void onReport(const GossipMessage& _report, Micros _now);

	/// Selects the teams of an answer.
	/// @param[in] _host Gateway that is answered.
	/// @param[in] _all Counters of all teams.
	/// @param[in] _count Largest number of teams.
	/// @param[in] _sent Time stamp of the answer.
	std::vector<QuotaReport> select(const std::string& _host, const std::vector<QuotaReport>& _all,
									std::size_t _count, Micros _sent);

	/// Forgets gateways that were not heard recently.
	void expire(Micros _now);

private:
	struct Receiver
	{
		std::uint64_t incarnation = 0;
		Micros heard = kLongAgo;
		std::map<std::string, double> counters; ///< As last reported.
		std::map<std::string, Micros> servedAt; ///< When a team's counter last grew.
		Micros wholeSince = kNever;             ///< Time stamp of the first answer with all teams.
		bool wholeConfirmed = false;            ///< One of these answers has arrived.
		std::size_t answers = 0;
		std::size_t turn = 0; ///< Index of the next team that is told in turn.
	};

	std::map<std::string, Receiver> m_receivers; ///< By host.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SUMSSELECTION_H
