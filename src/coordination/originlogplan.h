// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How often, and how many, gateways record the streams that begin there in the store.

#ifndef BEACONGATE_COORDINATION_ORIGINLOGPLAN_H
#define BEACONGATE_COORDINATION_ORIGINLOGPLAN_H

#include "beacongate/types.h"

#include <algorithm>
#include <cstddef>

namespace beacongate
{
/// Shares the store's writes and bytes among the gateways, so that the costs do not grow with the fleet.
struct OriginLogPlan
{
	/// Bytes of a record: its key, its version's number and their tags.
	static constexpr std::size_t kRecordBytes = 11;
	/// Bytes of all gateways' records, which each read of the store's content includes.
	static constexpr std::size_t kFleetBytes = 64u << 10;
	/// Time between two writes of the fleet.
	static constexpr Micros kWriteSpacing = 15 * kMillisecond;
	/// Shortest time between two writes of a gateway.
	static constexpr Micros kMinInterval = 50 * kMillisecond;

	/// @returns the time between two writes of a gateway.
	static constexpr Micros interval(std::size_t _members)
	{
		return std::max(kMinInterval, static_cast<Micros>(_members) * kWriteSpacing);
	}

	/// @returns the largest number of streams that a gateway records.
	static constexpr std::size_t records(std::size_t _members)
	{
		return kFleetBytes / kRecordBytes / std::max<std::size_t>(1, _members);
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ORIGINLOGPLAN_H
