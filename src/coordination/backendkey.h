// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Short key of a backend server, for messages between gateways and for look-ups.

#ifndef BEACONGATE_COORDINATION_BACKENDKEY_H
#define BEACONGATE_COORDINATION_BACKENDKEY_H

#include "beacongate/routing.h"

#include <xxhash.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace beacongate
{
/// Hash of a backend server's id and start time, so that loads and failures of one incarnation are not carried
/// over to the next. In 1 of 100 fleets of 10,000 backend servers, two share a key; their loads are then added
/// up.
struct BackendKey
{
	std::uint32_t value = 0;

	BackendKey() = default;

	explicit BackendKey(std::string_view _id, std::uint64_t _born = 0)
		: value(XXH32(_id.data(), _id.size(), static_cast<std::uint32_t>(_born ^ (_born >> 32))))
	{
	}

	explicit BackendKey(const BackendIdentity& _identity) : BackendKey(_identity.id, _identity.born)
	{
	}

	auto operator<=>(const BackendKey&) const = default;
};

/// Hash function for hash tables; the key is a hash already.
struct BackendKeyHash
{
	std::size_t operator()(const BackendKey& _key) const
	{
		return _key.value;
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKENDKEY_H
