// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Messages with which gateways tell each other at which software version a stream began.

#ifndef BEACONGATE_COORDINATION_STREAMORIGIN_H
#define BEACONGATE_COORDINATION_STREAMORIGIN_H

#include "beacongate/types.h"
#include "coordination/versionkey.h"

#include <xxhash.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace beacongate
{
/// Hash of a team and of the id of the caller's attempt that delivered a stream's first event. The team is part of
/// it, so that no team can change what is known of another one's stream.
struct StreamKey
{
	std::uint64_t value = 0;

	StreamKey() = default;

	StreamKey(std::string_view _team, std::string_view _attempt)
		: value(XXH3_64bits_withSeed(_attempt.data(), _attempt.size(), XXH3_64bits(_team.data(), _team.size())))
	{
	}

	auto operator<=>(const StreamKey&) const = default;
};

/// Hash function for hash tables; the key is a hash already.
struct StreamKeyHash
{
	std::size_t operator()(const StreamKey& _key) const
	{
		return _key.value;
	}
};

/// Hash of a service's name.
struct ServiceKey
{
	std::uint64_t value = 0;

	ServiceKey() = default;

	explicit ServiceKey(std::string_view _service) : value(XXH3_64bits(_service.data(), _service.size()))
	{
	}

	auto operator<=>(const ServiceKey&) const = default;
};

/// Tells that a stream has begun.
struct StreamOriginRecord
{
	StreamKey stream;
	VersionKey version;
	Micros lifetime = 0; ///< For how long the stream may be taken up.
};

/// Asks where a stream began.
struct StreamOriginQuery
{
	std::uint64_t id = 0; ///< Number given by the requester.
	StreamKey stream;
	ServiceKey service; ///< Service whose versions the answer lists if the stream is not known.
};

/// Answers a query.
struct StreamOriginAnswer
{
	/// Versions that an answer lists at most.
	static constexpr std::size_t kMaxVersions = 8;

	std::uint64_t id = 0;
	std::optional<VersionKey> version; ///< Where the stream began; nothing if that is not known.
	/// If that is not known: versions of the service that have served recently.
	std::vector<VersionKey> recentVersions;
};

using StreamOriginMessage = std::variant<StreamOriginRecord, StreamOriginQuery, StreamOriginAnswer>;

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STREAMORIGIN_H
