// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against answers for slow readers that together take more memory than a gateway has.

#include "coordination/answermemory.h"

#include <gtest/gtest.h>

#include <vector>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kStep = 16u << 10;
constexpr std::size_t kLarge = AnswerMemory::kSmallBytes + 1;

/// An answer that arrives in steps.
struct Answer
{
	explicit Answer(AnswerMemory& _memory) : share(std::make_unique<AnswerMemory::Share>(_memory))
	{
	}

	/// Reads a step unless it has to wait.
	void read()
	{
		if (reading)
		{
			reading = share->add(kStep, [this] { reading = true; });
			bytes += kStep;
		}
	}

	std::unique_ptr<AnswerMemory::Share> share;
	std::size_t bytes = 0;
	bool reading = true;
};
} // namespace

TEST(AnswerMemory, isBoundedAndEachAnswerBecomesWhole)
{
	constexpr std::size_t kWhole = 4u << 20;
	constexpr unsigned kAnswers = 72;
	AnswerMemory memory;
	std::vector<std::unique_ptr<Answer>> answers;
	for (unsigned number = 0; number < kAnswers; ++number)
	{
		answers.push_back(std::make_unique<Answer>(memory));
	}
	unsigned whole = 0;
	for (unsigned round = 0; round < 100'000 && whole < kAnswers; ++round)
	{
		for (auto& answer : answers)
		{
			answer ? answer->read() : void();
			if (answer && answer->bytes >= kWhole)
			{
				++whole;
				answer = nullptr; // Its caller has taken it.
			}
		}
		ASSERT_LE(memory.bytes(),
				  AnswerMemory::kMaxBytes + kWhole + kAnswers * (AnswerMemory::kSmallBytes + kStep));
	}
	EXPECT_EQ(whole, kAnswers);
	EXPECT_EQ(memory.bytes(), 0u);
	EXPECT_EQ(memory.waiting(), 0u);
}

TEST(AnswerMemory, answersThatWaitGoOnOnceCallersHaveTakenOthers)
{
	AnswerMemory memory;
	AnswerMemory::Share favoured(memory);
	auto held = std::make_unique<AnswerMemory::Share>(memory);
	EXPECT_TRUE(held->add(AnswerMemory::kMaxBytes, {}));
	EXPECT_TRUE(favoured.add(kLarge, {}));
	AnswerMemory::Share waiting(memory);
	bool resumed = false;
	EXPECT_FALSE(waiting.add(kLarge, [&] { resumed = true; }));
	held = nullptr;
	EXPECT_TRUE(resumed);
	EXPECT_TRUE(waiting.add(kLarge, {}));
}

TEST(AnswerMemory, smallAnswersDoNotWait)
{
	AnswerMemory memory;
	AnswerMemory::Share favoured(memory);
	EXPECT_TRUE(favoured.add(AnswerMemory::kMaxBytes + 1, {}));
	AnswerMemory::Share small(memory);
	EXPECT_TRUE(small.add(AnswerMemory::kSmallBytes, {}));
	EXPECT_FALSE(small.add(1, [] {}));
}

TEST(AnswerMemory, answerThatEndsWhileItWaitsIsForgotten)
{
	AnswerMemory memory;
	AnswerMemory::Share favoured(memory);
	EXPECT_TRUE(favoured.add(AnswerMemory::kMaxBytes + 1, {}));
	auto waiting = std::make_unique<AnswerMemory::Share>(memory);
	EXPECT_FALSE(waiting->add(kLarge, [] { ADD_FAILURE() << "resumed after its end"; }));
	waiting = nullptr;
	EXPECT_TRUE(favoured.add(kLarge, {}));
	EXPECT_EQ(memory.waiting(), 0u);
}

} // namespace beacongate::test
