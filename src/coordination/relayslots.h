// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Which gateways of a data centre the store names as relays for gateways that start.

#ifndef BEACONGATE_COORDINATION_RELAYSLOTS_H
#define BEACONGATE_COORDINATION_RELAYSLOTS_H

#include "coordination/readershare.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// The relays that a large fleet names in the store, in numbered slots of each data centre. The gateways that rank
/// first in a data centre enter themselves.
struct RelaySlots
{
	/// Slots of a data centre. With four, each relay serves a quarter of those that start: 44 gateways of 174,
	/// which is 7 MB with 4,000 items of 40 compressed bytes. Each relay also reads the content, so more of them
	/// would load the store.
	static constexpr std::size_t kCount = 4;

	/// @param[in] _ranked First members of the data centre in the order of their rank.
	/// @param[in] _host Host of this gateway.
	/// @param[in] _members Number of gateways of the fleet.
	/// @param[in] _bytes Size of a read of the whole content.
	/// @returns the slot that this gateway enters itself in; nothing if it ranks too low, or if the fleet is so
	/// small that each gateway reads the content itself.
	static std::optional<std::size_t> slotOf(const std::vector<std::string>& _ranked, const std::string& _host,
											 std::size_t _members, std::uint64_t _bytes)
	{
		const auto last = _ranked.begin() + static_cast<std::ptrdiff_t>(std::min(kCount, _ranked.size()));
		const auto own = std::find(_ranked.begin(), last, _host);
		if (own == last || !ReaderShare::isBounded(_members, _bytes))
		{
			return std::nullopt;
		}
		return static_cast<std::size_t>(own - _ranked.begin());
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_RELAYSLOTS_H
