// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What is learnt of engines, against a small model of engines in virtual time.

#include "coordination/enginemodel.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr double kStartSeconds = 0.03;

/// Prompts of mixed length, read one after the other by each of a few engines.
class EngineFleet
{
public:
	EngineFleet(double _tokensPerSecond, unsigned _engines, double _load)
		: m_speeds(_engines, _tokensPerSecond), m_free(_engines, 0.0), m_load(_load)
	{
	}

	void setSpeed(unsigned _engine, double _tokensPerSecond)
	{
		m_speeds[_engine] = _tokensPerSecond;
	}

	/// Sends prompts at random to engines and tells a model when their first events come.
	/// @param[in] _falseShare Part of the prompts that are found in a cache, though nobody knows it.
	void play(EngineModel& _model, unsigned _prompts, double _falseShare, std::minstd_rand& _random)
	{
		std::lognormal_distribution<double> lengths(7.5, 1.2);
		std::uniform_real_distribution<double> part(0.0, 1.0);
		for (unsigned prompt = 0; prompt < _prompts; ++prompt)
		{
			const double tokens = std::clamp(lengths(_random), 20.0, 50'000.0);
			const std::size_t engine = _random() % m_free.size();
			const bool cached = part(_random) < _falseShare;
			const double reading =
				cached ? 0.001 : tokens * (1.0 + tokens / EngineModel::kQuadraticCostTokens) / m_speeds[engine];
			const double began = std::max(m_now, m_free[engine]);
			m_free[engine] = began + reading;
			const double waited = m_free[engine] - m_now + kStartSeconds;
			_model.onFirstEvent("service", static_cast<std::uint64_t>(tokens),
								static_cast<Micros>(waited * static_cast<double>(kSecond)));
			// The mean prompt has about 3,700 tokens.
			m_now += 3'700.0 / m_speeds[0] / (m_load * static_cast<double>(m_free.size()));
		}
	}

private:
	std::vector<double> m_speeds;
	std::vector<double> m_free;
	double m_load;
	double m_now = 0.0;
};
} // namespace

RC_GTEST_PROP(EngineModel, findsASpeedThatIsFourTimesThePriorEitherWay, (std::uint32_t seed))
{
	std::minstd_rand random(seed % 1'000'000 + 1);
	for (const double factor : {0.25, 1.0, 4.0})
	{
		const double speed = EngineModel::kPriorTokensPerSecond * factor;
		EngineModel model;
		EngineFleet fleet(speed, 8, 0.5);
		fleet.play(model, 300, 0.1, random);
		RC_ASSERT(model.tokensPerSecond("service") > 0.5 * speed);
		RC_ASSERT(model.tokensPerSecond("service") < 1.5 * speed);
	}
}

TEST(EngineModel, oneSlowEngineDoesNotMoveTheEstimateOfTheOthers)
{
	std::minstd_rand random(3);
	EngineModel model;
	EngineFleet fleet(150'000.0, 8, 0.4);
	fleet.setSpeed(5, 15'000.0);
	fleet.play(model, 600, 0.0, random);
	EXPECT_GT(model.tokensPerSecond("service"), 0.7 * 150'000.0);
	EXPECT_LT(model.tokensPerSecond("service"), 1.1 * 150'000.0);
}

TEST(EngineModel, followsEnginesThatAreReplacedByFasterOnes)
{
	std::minstd_rand random(4);
	EngineModel model;
	EngineFleet slow(40'000.0, 8, 0.4);
	slow.play(model, 400, 0.0, random);
	EXPECT_NEAR(model.tokensPerSecond("service"), 40'000.0, 12'000.0);
	EngineFleet fast(160'000.0, 8, 0.4);
	fast.play(model, 400, 0.0, random);
	EXPECT_NEAR(model.tokensPerSecond("service"), 160'000.0, 48'000.0);
}

TEST(EngineModel, keepsThePriorUntilEnoughWasSeenAndLearnsNothingFromPromptsThatAreAlike)
{
	EngineModel model;
	EXPECT_DOUBLE_EQ(model.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
	for (std::size_t sample = 0; sample + 1 < EngineModel::kSamplesNeeded; ++sample)
	{
		model.onFirstEvent("service", 1000 * (sample + 1), 10 * kMillisecond);
	}
	EXPECT_DOUBLE_EQ(model.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
	EngineModel alike;
	for (unsigned sample = 0; sample < 500; ++sample)
	{
		alike.onFirstEvent("service", 1000, 50 * kMillisecond);
	}
	EXPECT_DOUBLE_EQ(alike.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
}

TEST(EngineModel, passesOverWaitsAndPromptsThatCannotBe)
{
	EngineModel model;
	for (unsigned sample = 0; sample < 500; ++sample)
	{
		model.onFirstEvent("service", 0, 50 * kMillisecond);
		model.onFirstEvent("service", 1000, 0);
		model.onFirstEvent("service", 1000, -kSecond);
	}
	EXPECT_TRUE(model.prefillSpeeds().empty());
}

TEST(EngineModel, aLongPromptTakesMoreThanItsTokens)
{
	const EngineModel model;
	const auto pair = static_cast<std::uint64_t>(EngineModel::kQuadraticCostTokens);
	EXPECT_NEAR(model.prefillSeconds("service", pair),
				2.0 * EngineModel::kQuadraticCostTokens / EngineModel::kPriorTokensPerSecond, 1e-6);
}

} // namespace beacongate::test
