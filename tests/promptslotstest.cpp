// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests a fleet of gateways that ask for prompt slots, at and beyond the capacity of the engines, and with
/// failures.

#include "promptslotfleet.h"

#include <gtest/gtest.h>

#include <map>
#include <utility>

namespace beacongate::test
{
namespace
{
constexpr unsigned kSeeds[] = {7, 8, 9};
constexpr double kLoads[] = {1.0, 1.5, 3.0};
constexpr double kKeptShare = 0.9; ///< Of the goodput at the capacity, or without a failure.

PromptOutcome outcomeOf(const PromptFleet& _fleet)
{
	return PromptSimulation(_fleet).run();
}

/// @returns the outcome of a fleet without failures whose gateways ask.
const PromptOutcome& soundOutcome(double _load, unsigned _seed)
{
	static std::map<std::pair<double, unsigned>, PromptOutcome> s_outcomes;
	const auto [entry, isNew] = s_outcomes.try_emplace({_load, _seed});
	entry->second = isNew ? outcomeOf({.load = _load, .seed = _seed}) : entry->second;
	return entry->second;
}

/// Requires that a fleet with a failure serves nearly as much as one without it, 2 s after the failure.
void expectKept(PromptFleet _fleet, double _load)
{
	for (const unsigned seed : kSeeds)
	{
		_fleet.load = _load;
		_fleet.seed = seed;
		const double sound = soundOutcome(_load, seed).laterGoodput;
		EXPECT_GE(outcomeOf(_fleet).laterGoodput, kKeptShare * sound) << "load " << _load << ", seed " << seed;
	}
}
} // namespace

// Guards against a burst that makes all requests late. The load of 1 is stable, since what does not fit is refused.
TEST(PromptSlots, requestsInTimeAreAsManyBeyondTheCapacity)
{
	for (const unsigned seed : kSeeds)
	{
		const double base = soundOutcome(1.0, seed).goodput;
		EXPECT_GE(base, kKeptShare * kPromptCapacity) << "seed " << seed;
		for (const double load : {1.5, 3.0})
		{
			EXPECT_GE(soundOutcome(load, seed).goodput, kKeptShare * base) << "load " << load << ", seed " << seed;
		}
	}
}

// The failure that prompt slots guard against; a fleet that is not overloaded by the same load would test nothing.
TEST(PromptSlots, requestsAreLateWhereGatewaysSendWithoutAsking)
{
	for (const unsigned seed : kSeeds)
	{
		const double base = outcomeOf({.load = 0.9, .asks = false, .seed = seed}).goodput;
		EXPECT_GE(base, 0.8 * kPromptCapacity) << "seed " << seed;
		for (const double load : {1.5, 3.0})
		{
			EXPECT_LT(outcomeOf({.load = load, .asks = false, .seed = seed}).goodput, base / 4)
				<< "load " << load << ", seed " << seed;
		}
	}
}

// Guards against refusals that leave callers too little time for a retry.
TEST(PromptSlots, requestsAreRefusedWithinAnEighthOfTheirTarget)
{
	for (const double load : kLoads)
	{
		for (const unsigned seed : kSeeds)
		{
			const PromptOutcome& outcome = soundOutcome(load, seed);
			EXPECT_GT(outcome.longestRefused, 0) << "load " << load << ", seed " << seed;
			EXPECT_LE(outcome.longestRefused, kPromptTarget / 8 + kMessageDelay)
				<< "load " << load << ", seed " << seed;
		}
	}
}

// Guards against a shortage at the expense of the most urgent requests.
TEST(PromptSlots, moreUrgentRequestsAreServedAtLeastAsOften)
{
	for (const double load : kLoads)
	{
		for (const unsigned seed : kSeeds)
		{
			const PromptOutcome& outcome = soundOutcome(load, seed);
			for (unsigned priority = 0; priority + 1 < kPromptPriorities; ++priority)
			{
				EXPECT_GE(outcome.total(priority).servedShare() + 0.05, outcome.total(priority + 1).servedShare())
					<< "load " << load << ", seed " << seed << ", priority " << priority;
			}
		}
	}
}

// Guards against second refusals, which cost callers more. More of the less urgent callers come back, so that each
// priority is compared by itself.
TEST(PromptSlots, returningCallersAreServedAtLeastAsOftenAsNewOnes)
{
	for (const double load : kLoads)
	{
		for (unsigned priority = 0; priority < kPromptPriorities; ++priority)
		{
			PromptCount fresh;
			PromptCount returning;
			for (const unsigned seed : kSeeds)
			{
				const auto counts = soundOutcome(load, seed).counts[priority];
				fresh.add(counts[0]);
				returning.add(counts[1]);
			}
			EXPECT_GE(returning.arrived, 100U) << "load " << load << ", priority " << priority;
			EXPECT_GE(returning.servedShare(), fresh.servedShare()) << "load " << load << ", priority " << priority;
		}
	}
}

// Guards against engines that get no prompts because their home does not answer. The next home takes its place,
// whether or not the stopped one is still listed as a member.
TEST(PromptSlotFailures, goodputIsKeptWhenAHomeStops)
{
	for (const double load : kLoads)
	{
		expectKept({.homeStops = true}, load);
		expectKept({.homeStops = true, .listedFor = 2 * kSecond}, load);
	}
}

// Guards against an upgrade that costs requests at a load that the engines can read. A load of 1 is not stable
// where gateways send without asking, so that 0.9 is taken; for more see promptslotsbuildstest.
TEST(PromptSlotFailures, goodputIsKeptBesideOlderBuildsBelowTheCapacity)
{
	expectKept({.halfOld = true}, 0.9);
}

} // namespace beacongate::test
