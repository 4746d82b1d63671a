// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests the estimates of engine speeds against a small model of engines in virtual time.

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
constexpr double kBaseDelaySeconds = 0.03;

/// A few engines that each prefill prompts of mixed length one after the other.
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

	/// Sends prompts to random engines and reports their first events to a model.
	/// @param[in] _cachedShare Share of the prompts that are found in a cache without the model's knowledge.
	void run(EngineModel& _model, unsigned _prompts, double _cachedShare, std::minstd_rand& _random)
	{
		std::lognormal_distribution<double> lengths(7.5, 1.2);
		std::uniform_real_distribution<double> part(0.0, 1.0);
		for (unsigned prompt = 0; prompt < _prompts; ++prompt)
		{
			const double tokens = std::clamp(lengths(_random), 20.0, 50'000.0);
			const std::size_t engine = _random() % m_free.size();
			const bool cached = part(_random) < _cachedShare;
			const double prefill =
				cached ? 0.001 : tokens * (1.0 + tokens / EngineModel::kQuadraticCostTokens) / m_speeds[engine];
			const double started = std::max(m_now, m_free[engine]);
			m_free[engine] = started + prefill;
			const double waited = m_free[engine] - m_now + kBaseDelaySeconds;
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

/// Notes the first event of a prompt of random length.
/// @param[in] _speed Tokens a second of the engine.
/// @param[in] _queueSeconds Time for which the prompt waited for others.
void addSample(EngineModel& _model, double _speed, double _queueSeconds, bool _idle, std::minstd_rand& _random)
{
	const std::uint64_t tokens = 200 + _random() % 8'000;
	const auto weighted =
		static_cast<double>(tokens) * (1.0 + static_cast<double>(tokens) / EngineModel::kQuadraticCostTokens);
	const double waited = kBaseDelaySeconds + _queueSeconds + weighted / _speed;
	_model.onFirstEvent("service", tokens, static_cast<Micros>(waited * static_cast<double>(kSecond)), _idle);
}
} // namespace

RC_GTEST_PROP(EngineModel, findsASpeedOfFourTimesOrAQuarterOfThePrior, (std::uint32_t seed))
{
	std::minstd_rand random(seed % 1'000'000 + 1);
	for (const double factor : {0.25, 1.0, 4.0})
	{
		const double speed = EngineModel::kPriorTokensPerSecond * factor;
		EngineModel model;
		EngineFleet fleet(speed, 8, 0.5);
		fleet.run(model, 300, 0.1, random);
		RC_ASSERT(model.tokensPerSecond("service") > 0.5 * speed);
		RC_ASSERT(model.tokensPerSecond("service") < 1.5 * speed);
	}
}

TEST(EngineModel, oneSlowEngineDoesNotChangeTheEstimate)
{
	std::minstd_rand random(3);
	EngineModel model;
	EngineFleet fleet(150'000.0, 8, 0.4);
	fleet.setSpeed(5, 15'000.0);
	fleet.run(model, 600, 0.0, random);
	EXPECT_GT(model.tokensPerSecond("service"), 0.7 * 150'000.0);
	EXPECT_LT(model.tokensPerSecond("service"), 1.1 * 150'000.0);
}

TEST(EngineModel, followsEnginesThatAreReplacedByFasterOnes)
{
	std::minstd_rand random(4);
	EngineModel model;
	EngineFleet slow(40'000.0, 8, 0.4);
	slow.run(model, 400, 0.0, random);
	EXPECT_NEAR(model.tokensPerSecond("service"), 40'000.0, 12'000.0);
	EngineFleet fast(160'000.0, 8, 0.4);
	fast.run(model, 400, 0.0, random);
	EXPECT_NEAR(model.tokensPerSecond("service"), 160'000.0, 48'000.0);
}

TEST(EngineModel, keepsThePriorWithFewSamplesOrWithPromptsOfTheSameLength)
{
	EngineModel model;
	EXPECT_DOUBLE_EQ(model.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
	for (std::size_t sample = 0; sample + 1 < EngineModel::kSamplesNeeded; ++sample)
	{
		model.onFirstEvent("service", 1000 * (sample + 1), 10 * kMillisecond);
	}
	EXPECT_DOUBLE_EQ(model.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
	EngineModel similarPrompts;
	for (unsigned sample = 0; sample < 500; ++sample)
	{
		similarPrompts.onFirstEvent("service", 1000, 50 * kMillisecond);
	}
	EXPECT_DOUBLE_EQ(similarPrompts.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
}

TEST(EngineModel, ignoresInvalidWaitsAndPromptLengths)
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

/// Guards against a speed that falls under overload, from which several times the needed capacity would be ordered.
TEST(EngineModel, promptsThatWaitForOthersDoNotLowerTheSpeedOnceThereAreIdleSamples)
{
	constexpr double kSpeed = 33'000.0;
	std::minstd_rand random(5);
	EngineModel model;
	for (std::size_t sample = 0; sample < EngineModel::kIdleSamplesNeeded; ++sample)
	{
		addSample(model, kSpeed, 0.0, true, random);
	}
	const double learnt = model.tokensPerSecond("service");
	EXPECT_NEAR(learnt, kSpeed, 0.1 * kSpeed);
	for (unsigned sample = 0; sample < 1'000; ++sample)
	{
		addSample(model, kSpeed, 0.3 + 0.001 * static_cast<double>(random() % 1'000), false, random);
	}
	EXPECT_EQ(model.tokensPerSecond("service"), learnt);
	for (unsigned sample = 0; sample < 200; ++sample)
	{
		addSample(model, kSpeed, 0.0, true, random);
		addSample(model, kSpeed, 0.8, false, random);
	}
	EXPECT_NEAR(model.tokensPerSecond("service"), kSpeed, 0.1 * kSpeed);
}

/// Guards against earlier samples, taken in a crowd, that count beside the first idle ones.
TEST(EngineModel, theFirstIdleSampleDropsTheEarlierOnes)
{
	constexpr double kSpeed = 33'000.0;
	std::minstd_rand random(6);
	EngineModel model;
	for (std::size_t sample = 0; sample < EngineModel::kSamplesKept; ++sample)
	{
		addSample(model, kSpeed / 5.0, 0.0, false, random);
	}
	const double before = model.tokensPerSecond("service");
	ASSERT_LT(before, 0.25 * kSpeed);
	for (std::size_t sample = 0; sample + 1 < EngineModel::kIdleSamplesNeeded; ++sample)
	{
		addSample(model, kSpeed, 0.0, true, random);
		// A mean over all samples would have changed by now, and too few idle ones give no estimate.
		EXPECT_EQ(model.tokensPerSecond("service"), before);
	}
	addSample(model, kSpeed, 0.0, true, random);
	EXPECT_NEAR(model.tokensPerSecond("service"), kSpeed, 0.1 * kSpeed);
}

/// The figures were calculated with the code before idle samples were introduced (commit 04ad674). Guards against
/// any change for deployments whose servers do not report their load.
TEST(EngineModel, samplesWithoutALoadGiveTheSameSpeedAsBefore)
{
	std::minstd_rand random(9);
	EngineModel model;
	EngineFleet fleet(90'000.0, 6, 0.6);
	std::vector<double> speeds;
	for (unsigned round = 0; round < 6; ++round)
	{
		fleet.run(model, 60, 0.1, random);
		speeds.push_back(model.tokensPerSecond("service"));
	}
	const std::vector<double> expected = {88664.384358914947, 86714.8570804591,   87155.684044061592,
										  86801.433798730548, 87202.126860886754, 87999.992233319994};
	ASSERT_EQ(speeds.size(), expected.size());
	for (std::size_t round = 0; round < expected.size(); ++round)
	{
		EXPECT_DOUBLE_EQ(speeds[round], expected[round]) << "round " << round;
	}
}

/// Guards against a mean length that does not follow the requests, or is shared by services. The number of prompts
/// that an engine reads at once depends on it.
TEST(EngineModel, theMeanLengthOfPromptsFollowsTheRequestsOfEachService)
{
	EngineModel model;
	EXPECT_DOUBLE_EQ(model.meanPromptTokens("service"), EngineModel::kPriorPromptTokens);
	model.onPlaced("service", 4'500);
	EXPECT_GT(model.meanPromptTokens("service"), EngineModel::kPriorPromptTokens);
	EXPECT_LT(model.meanPromptTokens("service"), 4'500.0);
	for (unsigned request = 0; request < 600; ++request)
	{
		model.onPlaced("service", request % 2 == 0 ? 500 : 1'500);
	}
	EXPECT_NEAR(model.meanPromptTokens("service"), 1'000.0, 50.0);
	EXPECT_DOUBLE_EQ(model.meanPromptTokens("other"), EngineModel::kPriorPromptTokens);
	EXPECT_DOUBLE_EQ(model.tokensPerSecond("service"), EngineModel::kPriorTokensPerSecond);
}

TEST(EngineModel, thePrefillTimeOfALongPromptIncludesTheQuadraticCost)
{
	const EngineModel model;
	const auto pair = static_cast<std::uint64_t>(EngineModel::kQuadraticCostTokens);
	EXPECT_NEAR(model.prefillSeconds("service", pair),
				2.0 * EngineModel::kQuadraticCostTokens / EngineModel::kPriorTokensPerSecond, 1e-6);
}

} // namespace beacongate::test
