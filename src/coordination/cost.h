// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Estimates a request's size in tokens, for queueing and routing.

#ifndef BEACONGATE_COORDINATION_COST_H
#define BEACONGATE_COORDINATION_COST_H

#include <algorithm>
#include <cstdint>

namespace beacongate
{
/// Estimated bytes of text per token; the entry has no tokenizer.
inline constexpr std::uint64_t kBytesPerToken = 4;

/// Engine time of a decoded token, in prefilled tokens.
inline constexpr double kDecodeWeight = 4.0;

/// Cost of a call of a plain service, in prefilled tokens.
inline constexpr double kPlainCallCost = 64.0;

/// @returns the estimated tokens of a text: at least one, or 0 for an empty text.
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
