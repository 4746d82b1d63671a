// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses which gateways receive a gossip message in each round, how often rounds take place, and what is sent.

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
/// Optional sections of a message.
struct GossipSections
{
	bool usage = true;
	bool members = true;
};

/// Bounds the messages that a gateway sends, whatever the size of the fleet.
class GossipPlan
{
public:
	/// Rounds between two messages that carry members and usage to every receiver.
	static constexpr std::size_t kFullReportRounds = 8;

	/// @returns true if gateways report to the collectors of their data centre instead of to each other.
	static constexpr bool usesCollectors(std::size_t _members)
	{
		return _members > limits::kGossipPeers;
	}

	/// @returns the interval between two rounds.
	static constexpr Micros roundInterval(std::size_t _members)
	{
		return usesCollectors(_members) ? limits::kCollectorRound : limits::kGossipRound;
	}

	/// @returns the longest time until a report of one gateway reaches another.
	/// @remarks It is one round without collectors. With collectors it is three: from the gateway to its collector,
	/// to the collector of another data centre, and from there to the receiver. Reports are on average half as old:
	/// 0.32 s to 0.40 s in fleets of 300 to 3,100 (fleettabletest).
	static constexpr Micros propagationDelay(std::size_t _members)
	{
		return usesCollectors(_members) ? 3 * limits::kCollectorRound : limits::kGossipRound;
	}

	/// Chooses the receivers of a round at random.
	/// @param[in] _known Hosts of all possible receivers.
	/// @param[in] _holder Host of the duty holder, which is always chosen; nothing if it is not known.
	/// @param[in] _maxReceivers Largest number of receivers.
	/// @returns the hosts of the receivers.
	template <typename Random>
	static std::vector<std::string> targets(std::vector<std::string> _known,
											const std::optional<std::string>& _holder, std::size_t _maxReceivers,
											Random& _random)
	{
		if (_known.size() <= _maxReceivers)
		{
			return _known;
		}
		std::shuffle(_known.begin(), _known.end(), _random);
		if (const auto holder = _holder ? std::find(_known.begin(), _known.end(), *_holder) : _known.end();
			holder != _known.end())
		{
			std::iter_swap(_known.begin(), holder);
		}
		_known.resize(_maxReceivers);
		return _known;
	}

	/// Chooses the optional sections for a receiver.
	/// @param[in] _target Host of the receiver.
	/// @param[in] _holder Host of the duty holder; nothing if it is not known.
	/// @param[in] _crowded More gateways are known than a round reaches.
	/// @param[in] _round Number of the round, from 0. In a crowded fleet, every kFullReportRounds-th round sends
	/// all sections to all receivers, beginning with round 0.
	/// @returns the sections to send. In a crowded fleet, the other rounds send usage only to the duty holder, or
	/// to all if it is not known; the copies at all others may be older.
	static GossipSections sectionsFor(const std::string& _target, const std::optional<std::string>& _holder,
									  bool _crowded, std::size_t _round)
	{
		const bool full = !_crowded || _round % kFullReportRounds == 0;
		return {full || !_holder || *_holder == _target, full};
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_GOSSIPPLAN_H
