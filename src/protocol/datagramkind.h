// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The kinds of datagrams between gateways that are short lists: docs/DESIGN.md, "Gateways of two builds".

#ifndef BEACONGATE_PROTOCOL_DATAGRAMKIND_H
#define BEACONGATE_PROTOCOL_DATAGRAMKIND_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace beacongate
{
/// Format number that is sent as the first field of each datagram.
inline constexpr std::uint64_t kDatagramFormat = 7;

/// Second field of a datagram. Gossip uses the kinds up to 3 and quota grants those up to 6; none is used again.
enum class DatagramKind : std::uint8_t
{
	CrashReport = 7,
	LimitReport = 8,
	StreamOrigin = 9,
	SlotGrant = 10,
	BrittleReport = 11,
	ServerSpeed = 12,
};

/// @returns true if a datagram is a MessagePack list of up to 15 fields, the second of which is the kind.
constexpr bool isOfKind(std::string_view _bytes, DatagramKind _kind)
{
	constexpr unsigned kShortListMask = 0xF0;
	constexpr unsigned kShortListPrefix = 0x90;
	constexpr std::size_t kKindOffset = 2; // With a format number below 128.
	return _bytes.size() > kKindOffset &&
		   (static_cast<unsigned char>(_bytes.front()) & kShortListMask) == kShortListPrefix &&
		   static_cast<unsigned char>(_bytes[kKindOffset]) == static_cast<unsigned char>(_kind);
}

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_DATAGRAMKIND_H
