// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How many gateways may read a large content of the store at the same time.

#ifndef BEACONGATE_COORDINATION_READERSHARE_H
#define BEACONGATE_COORDINATION_READERSHARE_H

#include "beacongate/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace beacongate
{
/// Answers for a fleet that lost its relays at once, before thousands of backend servers. Each gateway that reads
/// the store then makes the reads of all others slower. With 288 gateways and 1.1 MB a read, 1,000 Mbit/s are busy
/// for 2.5 s with one read of each: every list is too old to send by when it comes, so that all read again, and the
/// relays, whose reads are as slow, are passed over as stale. Nothing was served for the 8 s until the play was
/// ended, though the store was well. So only the first in rank read a large content; the others take it from those.
struct ReaderShare
{
	/// Bytes that the whole fleet may read at once without a bound: 1 s of the store's link. The fleets of up to
	/// 295 gateways and 210 backend servers stay below it.
	static constexpr std::uint64_t kUnboundedBytes = 128u << 20;
	/// Bytes that all readers together read at once where that is exceeded: 0.26 s of the store's link, so that a
	/// list is young enough when it comes.
	static constexpr std::uint64_t kReadersBytes = 32u << 20;
	/// A gateway that no relay has answered for this long is cut off from them, and reads for itself.
	static constexpr Micros kRelaySilence = 3 * kSecond;

	/// @param[in] _members Gateways that are listed.
	/// @param[in] _position How many of them rank before this one; nothing where it is not listed.
	/// @param[in] _bytes That a read takes, as far as is known.
	/// @param[in] _relaySilence For how long no relay has answered this gateway.
	/// @returns whether it may read the store itself.
	static bool mayRead(std::size_t _members, std::optional<std::size_t> _position, std::uint64_t _bytes,
						Micros _relaySilence)
	{
		const bool bounded = _members * _bytes > kUnboundedBytes;
		if (!bounded || !_position || _relaySilence > kRelaySilence)
		{
			return true;
		}
		return *_position == 0 || (*_position + 1) * _bytes <= kReadersBytes;
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_READERSHARE_H
