// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of the control: an accepted configuration never reverts, and a store outage interrupts nothing.

#include "coordination/controlcore.h"
#include "protocol/documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kControls = 4;

/// How the simulated store treats an operation.
enum class StoreMode
{
	Up,
	Down,        ///< Operations are neither performed nor answered.
	LoseAnswers, ///< Operations are performed but not answered.
};

/// Simulated store and network of several controls, in virtual time.
class Region
{
public:
	struct Value
	{
		std::string text;
		std::int64_t create = 0;
		std::int64_t mod = 0;
		std::int64_t lease = 0;
	};

	explicit Region(std::size_t _controls = kControls)
	{
		for (std::size_t ii = 0; ii < _controls; ++ii)
		{
			ControlSettings settings;
			settings.id = "e" + std::to_string(ii);
			settings.region = "north";
			settings.dataCentre = "dc" + std::to_string(ii % 2);
			settings.vm = "vm-" + settings.id;
			settings.peerAddress = Address{"127.0.0.1", static_cast<std::uint16_t>(1000 + ii)};
			settings.controlAddress = Address{"127.0.0.1", static_cast<std::uint16_t>(2000 + ii)};
			settings.hasVmList = true;
			settings.seed = ii + 1;
			for (std::size_t other = 0; other < _controls; ++other)
			{
				settings.seeds.push_back(Address{"127.0.0.1", static_cast<std::uint16_t>(2000 + other)});
			}
			cores.push_back(std::make_unique<ControlCore>(settings, jsonDocumentCodec()));
			frozen.push_back(false);
			storeUnreachable.push_back(false);
			entries.push_back(EntryReported{EntryRef{settings.id, 1}, {}, false, false});
			highestVersion.push_back(0);
		}
	}

	void send(std::size_t _control, ControlEvent _event)
	{
		if (frozen[_control])
		{
			held.emplace_back(_control, std::move(_event));
			return;
		}
		ControlActions actions;
		cores[_control]->handle(std::move(_event), now, actions);
		for (ControlAction& action : actions)
		{
			handleAction(_control, action);
		}
		const std::uint64_t version = cores[_control]->versions().config;
		reverted = reverted || version < highestVersion[_control];
		highestVersion[_control] = std::max(highestVersion[_control], version);
	}

	void freeze(std::size_t _control, bool _frozen)
	{
		frozen[_control] = _frozen;
		std::vector<std::pair<std::size_t, ControlEvent>> events;
		events.swap(held);
		for (auto& [control, event] : events)
		{
			send(control, std::move(event)); // Events of controls that are still frozen are held again.
		}
	}

	/// Advances time; entries report, store operations end and messages arrive.
	void run(Micros _span)
	{
		const Micros until = now + _span;
		while (now < until)
		{
			now += 50 * kMillisecond;
			for (std::size_t ii = 0; ii < cores.size(); ++ii)
			{
				if (!frozen[ii])
				{
					send(ii, ControlTick{});
					send(ii, entries[ii]);
				}
			}
			flush();
		}
	}

	void flush()
	{
		while (!exchanges.empty() || !storeOperations.empty())
		{
			std::vector<SendExchange> arrived;
			arrived.swap(exchanges);
			for (SendExchange& exchange : arrived)
			{
				send(exchange.to.port - 2000u, std::move(exchange.exchange));
			}
			std::vector<std::pair<std::size_t, ControlAction>> operations;
			operations.swap(storeOperations);
			for (auto& [control, action] : operations)
			{
				runStoreOperation(control, action);
			}
		}
	}

	std::uint64_t change(std::size_t _control, const std::string& _statement)
	{
		const std::uint64_t requestNumber = nextRequestNumber++;
		send(_control, OperatorChange{requestNumber, "change" + std::to_string(requestNumber), _statement});
		return requestNumber;
	}

	bool allHave(std::uint64_t _version) const
	{
		return std::all_of(cores.begin(), cores.end(),
						   [&](const auto& _core) { return _core->versions().config == _version; });
	}

	std::uint64_t storedVersion() const
	{
		const auto it = values.find("/beacongate/config");
		return values.end() == it ? 0 : jsonDocumentCodec().readConfig(it->second.text).config->version;
	}

	Micros now = kSecond;
	StoreMode storeMode = StoreMode::Up;
	bool loseSwapAnswers = false;
	std::vector<std::unique_ptr<ControlCore>> cores;
	std::vector<bool> frozen;
	std::vector<bool> storeUnreachable;
	std::vector<EntryReported> entries;
	std::vector<std::uint64_t> highestVersion;
	std::map<std::string, Value> values;
	std::map<std::uint64_t, AnswerOperator> answers;
	std::vector<VmListItem> vmList;
	std::uint64_t reads = 0;
	std::uint64_t writes = 0;
	bool reverted = false;

private:
	void handleAction(std::size_t _control, ControlAction& _action)
	{
		if (SendExchange* outgoing = std::get_if<SendExchange>(&_action))
		{
			exchanges.push_back(std::move(*outgoing));
		}
		else if (const SyncEntry* sync = std::get_if<SyncEntry>(&_action))
		{
			VersionSet& versions = entries[_control].versions;
			versions.config = nullptr == sync->snapshot.config ? versions.config : sync->snapshot.config->version;
			versions.roster = nullptr == sync->snapshot.roster ? versions.roster : sync->snapshot.roster->version;
			versions.vmDigest = digestOf(sync->snapshot.vms);
		}
		else if (const AnswerOperator* answer = std::get_if<AnswerOperator>(&_action))
		{
			answers[answer->requestNumber] = *answer;
		}
		else if (std::holds_alternative<ReadVmList>(_action))
		{
			send(_control, VmListArrived{vmList});
		}
		else
		{
			storeOperations.emplace_back(_control, std::move(_action));
		}
	}

	void runStoreOperation(std::size_t _control, const ControlAction& _action)
	{
		StoreAnswered answered;
		const StoreMode mode = storeUnreachable[_control] ? StoreMode::Down : storeMode;
		expire();
		if (const StoreGet* get = std::get_if<StoreGet>(&_action))
		{
			++reads;
			answered.op = get->op;
			answered.status = StoreStatus::Ok;
			fillValue(answered, get->key);
		}
		else if (const StoreSwap* swap = std::get_if<StoreSwap>(&_action))
		{
			++writes;
			answered.op = swap->op;
			if (StoreMode::Down != mode)
			{
				swapValue(*swap, answered);
				answered.status = loseSwapAnswers ? StoreStatus::Lost : answered.status;
			}
		}
		else if (const StoreLeaseGrant* grant = std::get_if<StoreLeaseGrant>(&_action))
		{
			++writes;
			answered.op = grant->op;
			answered.status = StoreStatus::Ok;
			answered.lease = ++revision;
			leases[answered.lease] = now + grant->ttl;
		}
		else if (const StoreLeaseRenew* renew = std::get_if<StoreLeaseRenew>(&_action))
		{
			++writes;
			answered.op = renew->op;
			answered.lease = renew->lease;
			const bool valid = leases.contains(renew->lease);
			answered.status = valid ? StoreStatus::Ok : StoreStatus::CompareFailed;
			if (valid && StoreMode::Down != mode)
			{
				leases[renew->lease] = now + limits::kLeaseTtl;
			}
		}
		if (StoreMode::Up != mode)
		{
			answered = StoreAnswered{answered.op, StoreStatus::Lost, {}, 0, 0};
		}
		send(_control, answered);
	}

	void fillValue(StoreAnswered& _answered, const std::string& _key) const
	{
		const auto it = values.find(_key);
		if (values.end() != it)
		{
			_answered.value = StoreValue{true, it->second.text, it->second.mod, it->second.create};
		}
	}

	void swapValue(const StoreSwap& _swap, StoreAnswered& _answered)
	{
		const auto it = values.find(_swap.key);
		const std::int64_t mod = values.end() == it ? 0 : it->second.mod;
		if (mod != _swap.expectedRevision)
		{
			_answered.status = StoreStatus::CompareFailed;
			fillValue(_answered, _swap.key);
			return;
		}
		++revision;
		Value& value = values[_swap.key];
		value = Value{_swap.text, 0 == value.create ? revision : value.create, revision, _swap.lease};
		_answered.status = StoreStatus::Ok;
		_answered.revision = revision;
	}

	void expire()
	{
		for (auto it = leases.begin(); leases.end() != it;)
		{
			const bool over = it->second <= now;
			const std::int64_t lease = it->first;
			it = over ? leases.erase(it) : std::next(it);
			if (over)
			{
				std::erase_if(values, [&](const auto& _item) { return _item.second.lease == lease; });
			}
		}
	}

	std::vector<std::pair<std::size_t, ControlEvent>> held; ///< Events held back for frozen controls.
	std::vector<SendExchange> exchanges;
	std::vector<std::pair<std::size_t, ControlAction>> storeOperations;
	std::map<std::int64_t, Micros> leases;
	std::int64_t revision = 0;
	std::uint64_t nextRequestNumber = 1;
};

const std::string kDocument = R"(apply {"teams": [{"name": "a", "token": "ta"}, {"name": "b", "token": "tb"}],
	"services": [{"name": "m", "kind": "model"}],
	"backends": [{"id": "b1", "service": "m", "address": "127.0.0.1:9", "vm": "v1", "dataCentre": "dc0"}]})";

/// Starts a region and applies its first configuration.
void configure(Region& _region, Micros _span)
{
	_region.run(2 * kSecond);
	_region.change(0, kDocument);
	_region.run(_span);
}

double weightOf(const ControlCore& _core, std::size_t _team)
{
	return _core.config().config->teams.at(_team).weight;
}
} // namespace

RC_GTEST_PROP(Configuration, anAcceptedChangeNeverReverts, ())
{
	Region region;
	region.run(2 * kSecond);
	const std::uint64_t first = region.change(0, kDocument);
	region.run(2 * kSecond);
	RC_ASSERT(region.answers.at(first).ok);
	std::map<std::uint64_t, std::pair<std::size_t, int>> sent; // Team and weight, by request number.
	const auto steps = *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
		rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
	int weight = 2;
	for (const auto& [kind, pick] : steps)
	{
		const std::size_t control = pick % kControls;
		switch (kind % 7)
		{
		case 0:
		case 1:
		{
			const std::size_t team = pick / 4 % 2;
			const std::string statement = std::string("set team ") + (0 == team ? "a" : "b") + " weight ";
			sent[region.change(control, statement + std::to_string(weight))] = {team, weight};
			++weight;
			break;
		}
		case 2:
			region.storeMode = static_cast<StoreMode>(pick % 3);
			break;
		case 3:
			region.freeze(control, !region.frozen[control]);
			break;
		case 4:
			region.storeUnreachable[control] = !region.storeUnreachable[control];
			break;
		default:
			region.run(40 * kMillisecond * pick);
			break;
		}
		RC_ASSERT(!region.reverted);
	}
	region.storeMode = StoreMode::Up;
	for (std::size_t ii = 0; ii < kControls; ++ii)
	{
		region.freeze(ii, false);
	}
	region.storeUnreachable.assign(kControls, false);
	region.run(60 * kSecond);
	RC_ASSERT(!region.reverted);
	RC_ASSERT(region.allHave(region.storedVersion()));
	// Every change has an answer; an accepted one is in the history, a rejected one is not.
	std::size_t accepted = 0;
	const auto& history = region.cores[0]->config().history;
	for (const auto& [requestNumber, what] : sent)
	{
		RC_ASSERT(region.answers.contains(requestNumber));
		const AnswerOperator& answer = region.answers.at(requestNumber);
		const std::string id = "change" + std::to_string(requestNumber);
		const bool inHistory = history.end() != std::find(history.begin(), history.end(), id);
		const bool acceptedAndPresent = answer.ok && (inHistory || accepted >= limits::kConfigHistory);
		const bool rejectedAndAbsent = !answer.ok && (!inHistory || Failure::OutcomeUnknown == answer.failure);
		RC_ASSERT(acceptedAndPresent || rejectedAndAbsent);
		accepted += answer.ok ? 1 : 0;
	}
}

RC_GTEST_PROP(Configuration, isInForceEverywhereWithinSeconds, ())
{
	Region region;
	configure(region, 3 * kSecond);
	// One control cannot reach the store; it receives the change from the others.
	region.storeUnreachable[*rc::gen::inRange<std::size_t>(1, kControls)] = true;
	const std::uint64_t requestNumber = region.change(0, "set team a weight 7");
	region.run(2 * kSecond);
	RC_ASSERT(region.answers.at(requestNumber).ok);
	RC_ASSERT(region.allHave(2));
	for (std::size_t ii = 0; ii < kControls; ++ii)
	{
		RC_ASSERT(7.0 == weightOf(*region.cores[ii], 0));
		RC_ASSERT(2u == region.entries[ii].versions.config);
	}
}

TEST(ConfigurationCases, aLostAnswerIsReadBack)
{
	Region region;
	region.run(2 * kSecond);
	region.loseSwapAnswers = true;
	const std::uint64_t requestNumber = region.change(0, kDocument);
	region.run(5 * kSecond);
	ASSERT_TRUE(region.answers.contains(requestNumber));
	EXPECT_TRUE(region.answers.at(requestNumber).ok);
	EXPECT_EQ(1u, region.storedVersion()) << "applied once";
	EXPECT_TRUE(region.allHave(1));
}

TEST(ConfigurationCases, ofTwoOperatorsThatRaceOneIsRefusedWithTheVersionThatWon)
{
	Region region;
	configure(region, 2 * kSecond);
	const std::uint64_t one = region.change(0, "set team a weight 2");
	const std::uint64_t two = region.change(1, "set team a weight 3");
	region.run(2 * kSecond);
	const AnswerOperator& first = region.answers.at(one);
	const AnswerOperator& second = region.answers.at(two);
	ASSERT_TRUE(first.ok != second.ok);
	const AnswerOperator& loser = first.ok ? second : first;
	EXPECT_EQ(Failure::ConfigConflict, loser.failure);
	EXPECT_EQ(2u, loser.version);
}

TEST(ConfigurationCases, anInvalidChangeIsRejectedWithItsPosition)
{
	Region region;
	configure(region, 2 * kSecond);
	const std::uint64_t requestNumber = region.change(1, "set team a weight 0");
	region.run(kSecond);
	EXPECT_EQ(Failure::ConfigInvalid, region.answers.at(requestNumber).failure);
	EXPECT_EQ("teams[0]: 'weight' has to be above 0 and at most 1000000", region.answers.at(requestNumber).detail);
	EXPECT_TRUE(region.allHave(1));
}

TEST(ConfigurationCases, aStoreThatLostChangesIsNotAdopted)
{
	Region region;
	configure(region, 2 * kSecond);
	const auto old = region.values;
	region.change(0, "set team a weight 9");
	region.run(2 * kSecond);
	ASSERT_TRUE(region.allHave(2));
	region.values = old;
	const std::uint64_t requestNumber = region.change(1, "set team b weight 4");
	region.run(5 * kSecond);
	EXPECT_TRUE(region.allHave(2));
	EXPECT_EQ(9.0, weightOf(*region.cores[3], 0));
	EXPECT_EQ(Failure::ConfigStale, region.answers.at(requestNumber).failure);
}

TEST(Outage, ofHoursKeepsTheConfigurationAndRevertsNothing)
{
	Region region;
	region.vmList = {{"v1", false, 0}, {"vm-e0", false, 0}, {"vm-e1", false, 0}};
	configure(region, 5 * kSecond);
	ASSERT_EQ(4u, region.cores[0]->roster().roster->members.size());
	region.storeMode = StoreMode::Down;
	const std::uint64_t refused = region.change(2, "set team a weight 5");
	region.run(2 * kSecond);
	EXPECT_EQ(Failure::StoreUnavailable, region.answers.at(refused).failure) << "reported at once";
	region.vmList[0] = VmListItem{"v1", true, 30 * kSecond};
	const Micros shown = region.now;
	region.run(2 * kSecond);
	for (const auto& core : region.cores)
	{
		EXPECT_TRUE(core->vms().leaving.contains("v1")) << "within two seconds, with the store down";
	}
	EXPECT_LE(region.now - shown, 2 * kSecond);
	region.run(600 * kSecond);
	EXPECT_TRUE(region.allHave(1));
	const std::uint64_t before = region.reads;
	region.run(600 * kSecond);
	EXPECT_LT(region.reads - before, 4u * 600 / 5) << "the store is read with backoff while it is down";
	region.storeMode = StoreMode::Up;
	const std::uint64_t accepted = region.change(3, "set team a weight 6");
	region.run(30 * kSecond);
	EXPECT_TRUE(region.answers.at(accepted).ok);
	EXPECT_TRUE(region.allHave(2));
}

TEST(Leadership, aFrozenLeaderIsReplacedWithALargerToken)
{
	Region region(4);
	region.run(10 * kSecond);
	std::size_t old = 0;
	while (!region.cores[old]->isLeader())
	{
		++old;
		ASSERT_LT(old, 4u);
	}
	const std::int64_t token = region.cores[old]->fencingToken();
	region.freeze(old, true);
	region.run(30 * kSecond);
	const std::size_t other = (old + 2) % 4; // The other control of the same data centre.
	ASSERT_TRUE(region.cores[other]->isLeader());
	EXPECT_GT(region.cores[other]->fencingToken(), token);
	region.freeze(old, false);
	region.run(5 * kSecond);
	EXPECT_FALSE(region.cores[old]->isLeader());
}

TEST(Roster, listsEveryEntryAndFollowsStopsAndTerminatedVms)
{
	Region region;
	region.vmList = {{"vm-e0", false, 0}, {"vm-e1", false, 0}, {"vm-e2", false, 0}, {"vm-e3", false, 0}};
	region.run(8 * kSecond);
	ASSERT_EQ(4u, region.cores[0]->roster().roster->members.size());
	region.entries[1].stopping = true;
	region.run(3 * kSecond);
	EXPECT_EQ(3u, region.cores[0]->roster().roster->members.size());
	EXPECT_EQ(1u, region.cores[0]->roster().roster->departed.size());
	region.entries[1].drained = true;
	region.run(3 * kSecond);
	EXPECT_EQ(0u, region.cores[0]->roster().roster->departed.size());
	region.vmList.pop_back();
	region.freeze(3, true);
	region.run(40 * kSecond);
	EXPECT_EQ(2u, region.cores[0]->roster().roster->members.size());
	ASSERT_EQ(1u, region.cores[0]->roster().roster->lost.size());
	EXPECT_EQ("e3", region.cores[0]->roster().roster->lost[0].entry.id);
}

} // namespace beacongate::test
