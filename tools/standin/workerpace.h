// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Speed of a worker and the load that it states.

#ifndef BEACONGATE_TOOLS_STANDIN_WORKERPACE_H
#define BEACONGATE_TOOLS_STANDIN_WORKERPACE_H

#include "beacongate/types.h"

#include <cmath>
#include <string>

namespace beacongate::standin
{
/// Speed of a worker and what its answers say about its load. By default, a worker has the usual speed and states
/// nothing.
struct WorkerPace
{
	/// Slots that the stated load names; 0 if the worker states no load.
	unsigned slots = 0;
	/// The load has a fourth figure, the present slowdown in percent.
	bool statesSlowdown = false;
	/// Value stated instead of the load, such as an invalid one.
	std::string text = {};
	/// Time that work takes when no other program disturbs the worker, relative to the usual time.
	double lasting = 1.0;
	/// Other programs slow the worker down at times.
	bool noisy = false;
	/// Selects the times at which the worker is slowed down.
	unsigned seed = 0;
	/// Tokens of prompts that an engine of the usual speed reads in a millisecond, one prompt at a time; 0 for a
	/// worker that reads none.
	double tokensPerMilli = 0.0;

	/// @returns the time that work takes at a moment, relative to the usual time.
	double slowdown(Micros _now) const
	{
		constexpr Micros kNoiseSpan = 600 * kMillisecond;
		constexpr double kNoiseFactor = 2.5;
		constexpr std::uint64_t kNoisePercent = 15;
		// The multiplier spreads consecutive spans over the percentages.
		const std::uint64_t span = static_cast<std::uint64_t>(_now / kNoiseSpan) + 7919ULL * seed;
		const bool slowed = noisy && (span * 0x9E3779B97F4A7C15ULL >> 32) % 100 < kNoisePercent;
		return lasting * (slowed ? kNoiseFactor : 1.0);
	}

	/// @returns the time that work takes at a moment.
	Micros scaled(Micros _usual, Micros _now) const
	{
		return static_cast<Micros>(static_cast<double>(_usual) * slowdown(_now));
	}

	/// @returns the time in which a prompt is read if its reading begins at a moment.
	Micros readTime(double _tokens, Micros _now) const
	{
		return scaled(static_cast<Micros>(_tokens / tokensPerMilli * static_cast<double>(kMillisecond)), _now);
	}

	/// @returns the value of the load header, empty if the worker states no load.
	std::string load(std::size_t _running, std::size_t _waiting, Micros _now) const
	{
		if (!text.empty() || slots == 0)
		{
			return text;
		}
		const std::string counts =
			std::to_string(_running) + ',' + std::to_string(_waiting) + ',' + std::to_string(slots);
		return statesSlowdown ? counts + ',' + std::to_string(std::lround(100.0 * slowdown(_now))) : counts;
	}
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_WORKERPACE_H
