// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Whom a gateway sends its state to in one round, and which parts of it.

#ifndef BEACONGATE_COORDINATION_GOSSIPPLAN_H
#define BEACONGATE_COORDINATION_GOSSIPPLAN_H

#include "beacongate/limits.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// Parts of a message that not every receiver needs each time.
struct GossipSections
{
	bool usage = true;
	bool members = true;
};

/// Keeps what is sent bounded, however many gateways there are.
class GossipPlan
{
public:
	/// Members and usage go to everybody once in so many rounds.
	static constexpr std::size_t kFullReportRounds = 8;

	/// @returns whether gateways report to the collectors of their data centre instead of to each other.
	static constexpr bool usesCollectors(std::size_t _members)
	{
		return _members > limits::kGossipPeers;
	}

	/// @returns the pause between two rounds.
	static constexpr Micros roundInterval(std::size_t _members)
	{
		return usesCollectors(_members) ? limits::kCollectorRound : limits::kGossipRound;
	}

	/// @returns the span within which one gateway's news reach another: a round, or one to a collector, one to the
	/// collector of another data centre and one from there. Half of it is how old they are on average: 0.32 s to
	/// 0.40 s in fleets of 300 to 3,100 (fleettabletest).
	static constexpr Micros propagationDelay(std::size_t _members)
	{
		return usesCollectors(_members) ? 3 * limits::kCollectorRound : limits::kGossipRound;
	}

	/// Chooses receivers for a round.
	/// @param[in] _known All that could be sent to.
	/// @param[in] _holder Holds the duties and is always among them; nothing where that is not known.
	/// @param[in] _most Receivers at most.
	template <typename Random>
	static std::vector<std::string> targets(std::vector<std::string> _known,
											const std::optional<std::string>& _holder, std::size_t _most,
											Random& _random)
	{
		if (_known.size() <= _most)
		{
			return _known;
		}
		std::shuffle(_known.begin(), _known.end(), _random);
		if (const auto holder = _holder ? std::find(_known.begin(), _known.end(), *_holder) : _known.end();
			holder != _known.end())
		{
			std::iter_swap(_known.begin(), holder);
		}
		_known.resize(_most);
		return _known;
	}

	/// @param[in] _crowded There are more gateways than a round reaches.
	/// @param[in] _round Counts up from 0, where everything is sent.
	/// @returns the parts for a receiver. In a crowd, counts of usage are for the holder, and all others keep
	/// copies that may be older.
	static GossipSections sectionsFor(const std::string& _target, const std::optional<std::string>& _holder,
									  bool _crowded, std::size_t _round)
	{
		const bool full = !_crowded || _round % kFullReportRounds == 0;
		return {full || !_holder || *_holder == _target, full};
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GOSSIPPLAN_H
