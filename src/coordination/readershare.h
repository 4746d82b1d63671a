// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Bounds how many gateways read a large content of the store at the same time.

#ifndef BEACONGATE_COORDINATION_READERSHARE_H
#define BEACONGATE_COORDINATION_READERSHARE_H

#include "beacongate/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace beacongate
{
/// Bounds the readers of the store in a fleet that loses its relays at once while thousands of backend servers are
/// listed.
/// @remarks Each gateway that reads the store slows down the reads of all others. With 288 gateways and 1.1 MB for
/// each read, one read by each occupies a 1,000 Mbit/s link for 2.5 s. Every list is then too old to use when it
/// arrives, so all gateways read again, and relays whose reads are as slow are skipped as stale. In a test, nothing
/// was served for 8 s although the store was healthy. Therefore only the first in the ranking read a large content,
/// and the others take it from these.
struct ReaderShare
{
	/// Bytes that the whole fleet may read at once without a bound: 1 s of the store's link. Fleets of up to 295
	/// gateways with 210 backend servers stay below it.
	static constexpr std::uint64_t kUnboundedBytes = 128u << 20;
	/// Bytes that all readers together may read at once above that bound: 0.26 s of the store's link, so that a
	/// list is recent enough when it arrives.
	static constexpr std::uint64_t kReadersBytes = 32u << 20;
	/// Time without an answer from any relay after which a gateway reads for itself, since it is cut off from the
	/// relays.
	static constexpr Micros kRelaySilence = 3 * kSecond;

	/// @param[in] _members Number of listed gateways.
	/// @param[in] _bytes Size of a read, as far as it is known.
	/// @returns true if the fleet is so large that only some of its gateways may read the store.
	static constexpr bool isBounded(std::size_t _members, std::uint64_t _bytes)
	{
		return _members * _bytes > kUnboundedBytes;
	}

	/// @param[in] _members Number of listed gateways.
	/// @param[in] _position Number of gateways that rank before this one; nothing if it is not listed.
	/// @param[in] _bytes Size of a read, as far as it is known.
	/// @param[in] _relaySilence Time for which no relay has answered this gateway.
	/// @returns true if this gateway may read the store itself.
	static bool mayRead(std::size_t _members, std::optional<std::size_t> _position, std::uint64_t _bytes,
						Micros _relaySilence)
	{
		if (!isBounded(_members, _bytes) || !_position || _relaySilence > kRelaySilence)
		{
			return true;
		}
		return *_position == 0 || (*_position + 1) * _bytes <= kReadersBytes;
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_READERSHARE_H
