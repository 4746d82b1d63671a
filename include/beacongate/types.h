// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Identifiers, handles and small enumerations shared by all layers.

#ifndef BEACONGATE_TYPES_H
#define BEACONGATE_TYPES_H

#include <compare>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace beacongate
{
/// A point in time or a duration, in microseconds. The caller chooses the clock; the coordination
/// layer only compares and subtracts.
using Micros = std::int64_t;

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;

/// @returns a duration in seconds.
constexpr double secondsOf(Micros _span)
{
	return static_cast<double>(_span) / static_cast<double>(kSecond);
}

/// Later than any point in time; as a deadline it means none.
inline constexpr Micros kNever = std::numeric_limits<Micros>::max();

/// Earlier than any recorded point in time; subtracting it from one does not overflow.
inline constexpr Micros kLongAgo = -kNever / 2;

/// Index that refers to no row of any table.
inline constexpr std::uint32_t kInvalidHandle = std::numeric_limits<std::uint32_t>::max();

/// Refers to a backend server in a BackendTable.
struct BackendHandle
{
	std::uint32_t idx = kInvalidHandle;
	auto operator<=>(const BackendHandle&) const = default;
};

/// Refers to a service in a Catalog.
struct ServiceHandle
{
	std::uint32_t idx = kInvalidHandle;
	auto operator<=>(const ServiceHandle&) const = default;
};

/// Refers to a team in a Catalog.
struct TeamHandle
{
	std::uint32_t idx = kInvalidHandle;
	auto operator<=>(const TeamHandle&) const = default;
};

/// @returns true if the handle refers to a row.
template <typename Handle> constexpr bool isValid(Handle _handle)
{
	return kInvalidHandle != _handle.idx;
}

/// Id of one exchange with a caller (an HTTP request and its answer) at one entry.
using ExchangeId = std::uint64_t;

/// Id of a request at the entry that executes it; never reused by the same incarnation.
using RequestId = std::uint64_t;

/// Id of one attempt of a request at one backend server; unique per entry incarnation.
using AttemptId = std::uint64_t;

/// Identifies one run of an entry process. A restarted entry has the same id and a larger incarnation.
struct EntryRef
{
	std::string id;
	std::uint64_t incarnation = 0;
	auto operator<=>(const EntryRef&) const = default;
	bool operator==(const EntryRef&) const = default;
};

/// Outcome of a request, which its final answer reports to the caller.
enum class Outcome
{
	Done,    ///< It ran; the answer is the result.
	NotRun,  ///< It did not run.
	Unknown, ///< It may have run; it will not be run again.
};

/// @returns the name used in the Beacongate-Outcome header.
constexpr std::string_view toString(Outcome _outcome)
{
	switch (_outcome)
	{
	case Outcome::Done:
		return "done";
	case Outcome::NotRun:
		return "not-run";
	case Outcome::Unknown:
		return "unknown";
	}
	return "unknown";
}

} // namespace beacongate

#endif // BEACONGATE_TYPES_H
