// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of at-most-once execution: a call that may not be repeated runs at most once, and one reported as
/// "not run" did not run.

#include "fleet.h"
#include "step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kNodes = 3;
constexpr std::size_t kKeys = 6;

/// Applies random steps to a fleet and records the roster version at which each key was first used.
class RandomScenario
{
public:
	/// One slot, so that granted calls are also queued, miss their deadline and release their key.
	RandomScenario() : fleet(kNodes, 1, 1)
	{
	}

	void apply(const Step& _step)
	{
		const std::size_t node = _step.a % kNodes;
		switch (_step.kind % 14)
		{
		case 0:
		case 1:
		case 2:
			call(node, _step.b % kKeys, _step.b < 128 ? 20 * kSecond : 200 * kMillisecond);
			break;
		case 3:
		case 4:
		case 5:
			withMessage(_step, [&](std::size_t _index) { fleet.deliver(_index); });
			break;
		case 6:
			withMessage(_step, [&](std::size_t _index)
						{ fleet.messages.erase(fleet.messages.begin() + static_cast<long>(_index)); });
			break;
		case 7:
			withMessage(_step, [&](std::size_t _index) { fleet.deliver(_index, true); });
			break;
		case 8:
			if (!fleet.attempts.empty())
			{
				fleet.end(_step.a % fleet.attempts.size(), static_cast<Ending>(_step.b % 4));
			}
			break;
		case 9:
			fleet.nodes[node].frozen ? fleet.resume(node) : fleet.freeze(node);
			break;
		case 10:
			restart(node);
			break;
		case 11:
			changeRoster(node, _step.b);
			break;
		case 12:
			// One of the two latest versions, since an entry's control may lag.
			fleet.giveRoster(node,
							 fleet.rosters.size() - 1 - _step.b % std::min<std::size_t>(2, fleet.rosters.size()));
			break;
		default:
			fleet.tick(10 * kMillisecond * (1 + _step.b));
			break;
		}
	}

	/// Restarts and resumes all entries, distributes the roster, and lets everything that was sent end.
	void recover()
	{
		for (std::size_t ii = 0; ii < kNodes; ++ii)
		{
			if (fleet.nodes[ii].dead)
			{
				restart(ii);
			}
			if (fleet.nodes[ii].frozen)
			{
				fleet.resume(ii);
			}
		}
		for (std::size_t ii = 0; ii < kNodes; ++ii)
		{
			// A departed or lost run cannot return; a new run of the entry can join.
			const RosterMember* member = fleet.roster().findMember(fleet.self(ii).id);
			if (nullptr == member || member->entry != fleet.self(ii))
			{
				restart(ii);
			}
		}
		for (std::size_t ii = 0; ii < kNodes; ++ii)
		{
			fleet.giveRoster(ii, fleet.rosters.size() - 1);
		}
		fleet.settle();
	}

	void check() const
	{
		std::map<std::string, bool> allNotRun;
		for (const auto& [exchange, view] : fleet.callers)
		{
			RC_ASSERT(view.finals.size() <= 1u);
			if (!view.finals.empty() && Outcome::Done == view.finals.front() &&
				Failure::AnswerNotKept != view.failure)
			{
				RC_ASSERT(view.body == view.expected);
			}
			const bool notRun = !view.finals.empty() && Outcome::NotRun == view.finals.front();
			const auto it = allNotRun.emplace(view.key, true).first;
			it->second = it->second && notRun;
		}
		for (const auto& [key, count] : fleet.executions)
		{
			RC_ASSERT(count <= 1);
			RC_ASSERT(0 == count || !allNotRun[key]);
		}
	}

	Fleet fleet;

private:
	template <typename Function> void withMessage(const Step& _step, Function _function)
	{
		if (!fleet.messages.empty())
		{
			_function((_step.a * 256u + _step.b) % fleet.messages.size());
		}
	}

	void call(std::size_t _node, std::size_t _key, Micros _deadline)
	{
		const std::string key = "k" + std::to_string(_key);
		// Odd keys carry the roster version that the caller saw before it first used them.
		const auto& roster = fleet.nodes[_node].core->home().roster();
		const std::uint64_t seen = 0 == _key % 2 || nullptr == roster ? 0 : roster->version;
		const auto it = m_issued.emplace(key, seen).first;
		fleet.call(_node, "log", key, it->second, _deadline);
	}

	void restart(std::size_t _node)
	{
		fleet.kill(_node);
		fleet.boot(_node, ++m_incarnation);
		fleet.changeRoster(withJoined(fleet.roster(), Fleet::member(_node, m_incarnation)));
	}

	void changeRoster(std::size_t _node, std::uint8_t _how)
	{
		const EntryRef entry = fleet.self(_node);
		switch (_how % 3)
		{
		case 0:
			fleet.changeRoster(withDeparted(fleet.roster(), entry));
			break;
		case 1:
			// The run may be wrongly declared lost: it may be frozen or running.
			fleet.changeRoster(withLost(fleet.roster(), entry));
			break;
		default:
			fleet.changeRoster(withJoined(fleet.roster(), Fleet::member(_node, entry.incarnation)));
			break;
		}
	}

	std::map<std::string, std::uint64_t> m_issued;
	std::uint64_t m_incarnation = 10;
};
} // namespace
RC_GTEST_PROP(AtMostOnce, holdsInAnyOrderOfFailures, ())
{
	const auto steps = *rc::gen::scale(3.0, rc::gen::arbitrary<std::vector<Step>>());
	RandomScenario scenario;
	for (const Step& step : steps)
	{
		scenario.apply(step);
	}
	scenario.check();
	scenario.recover();
	scenario.check();
}

RC_GTEST_PROP(AtMostOnce, servesNewKeysAfterRecovery, ())
{
	const auto steps = *rc::gen::scale(3.0, rc::gen::arbitrary<std::vector<Step>>());
	RandomScenario scenario;
	for (const Step& step : steps)
	{
		scenario.apply(step);
	}
	scenario.recover();
	const std::uint64_t version = scenario.fleet.roster().version;
	for (std::size_t ii = 0; ii < kNodes; ++ii)
	{
		const std::string key = "fresh" + std::to_string(ii);
		const ExchangeId exchange = scenario.fleet.call(ii, "log", key, version);
		scenario.fleet.settle();
		const CallerView& view = scenario.fleet.callers[exchange];
		RC_ASSERT(view.finals.size() == 1u);
		RC_ASSERT(Outcome::Done == view.finals.front());
		RC_ASSERT(1 == scenario.fleet.executions[key]);
	}
}

TEST(AtMostOnceCases, theSameKeyAtAnotherEntryGetsTheSameAnswer)
{
	Fleet fleet(3);
	const ExchangeId first = fleet.call(0, "log", "k", 1);
	fleet.settle(2);
	const ExchangeId second = fleet.call(1, "log", "k", 1);
	const ExchangeId third = fleet.call(2, "log", "k", 1);
	fleet.settle();
	for (const ExchangeId exchange : {first, second, third})
	{
		ASSERT_EQ(1u, fleet.callers[exchange].finals.size());
		EXPECT_EQ(Outcome::Done, fleet.callers[exchange].finals.front());
		EXPECT_EQ("ran k", fleet.callers[exchange].body);
	}
	EXPECT_EQ(1, fleet.executions["k"]);
}

TEST(AtMostOnceCases, aFrozenHomeMeansNotRunAndNothingRunsLater)
{
	Fleet fleet(3);
	const RosterMember* home = homeOf("a/log/k", fleet.roster());
	const std::size_t homeNode = static_cast<std::size_t>(home->entry.id.back() - '0');
	const std::size_t other = (homeNode + 1) % 3;
	fleet.freeze(homeNode);
	const ExchangeId exchange = fleet.call(other, "log", "k", 1);
	fleet.settle();
	ASSERT_EQ(1u, fleet.callers[exchange].finals.size());
	EXPECT_EQ(Outcome::NotRun, fleet.callers[exchange].finals.front());
	fleet.resume(homeNode);
	fleet.settle();
	EXPECT_EQ(0, fleet.executions["k"]);
	const ExchangeId again = fleet.call(homeNode, "log", "k", 1);
	fleet.settle();
	EXPECT_EQ(Outcome::Done, fleet.callers[again].finals.front());
	EXPECT_EQ(1, fleet.executions["k"]);
}

TEST(AtMostOnceCases, anotherRequestUnderAUsedKeyIsRefused)
{
	Fleet fleet(2);
	fleet.call(0, "log", "k", 1);
	fleet.settle();
	CallerRequest request;
	request.exchange = 99;
	request.token = "ta";
	request.service = "log";
	CallPayload payload;
	payload.path = "/something-else";
	request.payload = std::make_shared<const CallPayload>(payload);
	request.key = "k";
	fleet.send(1, std::move(request));
	fleet.settle();
	EXPECT_EQ(Failure::KeyReused, fleet.callers[99].failure);
}

TEST(SealCases, sealsToAnEntryThatDoesNotAnswerBackOff)
{
	Fleet fleet(2);
	fleet.freeze(1);
	fleet.changeRoster(withJoined(fleet.roster(), Fleet::member(2, 1)));
	fleet.giveRoster(0, fleet.rosters.size() - 1);
	std::size_t seals = fleet.messages.size();
	fleet.messages.clear();
	for (int ii = 0; ii < 600; ++ii)
	{
		fleet.tick(100 * kMillisecond);
		seals += fleet.messages.size();
		fleet.messages.clear();
	}
	// Two entries in a minute: about 12 sends each with backoff, instead of 300.
	EXPECT_GE(seals, 2u * 8);
	EXPECT_LE(seals, 2u * 16);
}

} // namespace beacongate::test
