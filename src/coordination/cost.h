// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Estimates of a request's size in tokens, for queueing and routing.

#ifndef BEACONGATE_COORDINATION_COST_H
#define BEACONGATE_COORDINATION_COST_H

#include <algorithm>
#include <cstdint>

namespace beacongate
{
/// Bytes of text per token; a rule of thumb, since the entry has no tokenizer.
inline constexpr std::uint64_t kBytesPerToken = 4;

/// A decoded token costs as much engine time as this many prefilled ones.
inline constexpr double kDecodeWeight = 4.0;

/// Cost of a plain service's call, in tokens.
inline constexpr double kPlainCallCost = 64.0;

/// @returns tokens in that many bytes of text, at least one.
constexpr std::uint64_t tokensOfBytes(std::uint64_t _bytes)
{
	return 0 == _bytes ? 0 : std::max<std::uint64_t>(1, _bytes / kBytesPerToken);
}

/// @returns a model request's cost in prefilled tokens.
constexpr double modelCost(std::uint64_t _promptTokens, std::uint64_t _maxTokens)
{
	return static_cast<double>(_promptTokens) + kDecodeWeight * static_cast<double>(_maxTokens);
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_COST_H
