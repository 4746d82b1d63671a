// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Short key of a software version of a service, for comparisons and for messages between gateways.

#ifndef BEACONGATE_COORDINATION_VERSIONKEY_H
#define BEACONGATE_COORDINATION_VERSIONKEY_H

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <string_view>

namespace beacongate
{
/// Hash of a service's name and of a version of the software of its backend servers. Two versions share a key with
/// a probability of 2^-64.
struct VersionKey
{
	std::uint64_t value = 0;

	VersionKey() = default;

	VersionKey(std::string_view _service, std::string_view _version)
		: value(
			  XXH3_64bits_withSeed(_version.data(), _version.size(), XXH3_64bits(_service.data(), _service.size())))
	{
	}

	auto operator<=>(const VersionKey&) const = default;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_VERSIONKEY_H
