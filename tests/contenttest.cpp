// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests a gateway's view of the store's content, and the choice of the gateway that it takes the content from.

#include "coordination/contenthistory.h"
#include "coordination/directory.h"
#include "coordination/relaychoice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace beacongate::test
{
namespace
{
RoutingConfigPtr configOf(std::uint64_t _version)
{
	auto config = std::make_shared<RoutingConfig>();
	config->version = _version;
	config->buildIndex();
	return config;
}

BackendRecord backendOf(const std::string& _id, bool _draining = false)
{
	BackendRecord record;
	record.id = _id;
	record.service = "model";
	record.draining = _draining;
	return record;
}
} // namespace

RC_GTEST_PROP(Directory, keepsTheNewestConfigurationInAnyOrderOfSnapshots, (const std::vector<std::uint8_t>& order))
{
	Directory directory;
	std::uint64_t newest = 0;
	Micros now = kSecond;
	for (const std::uint8_t revision : order)
	{
		now += kMillisecond;
		// The store's revision and the configuration's version rise together; a snapshot may arrive late.
		directory.apply({revision, configOf(revision / 3 + 1), {}, now}, now);
		const std::uint64_t version = directory.config() ? directory.config()->version : 0;
		RC_ASSERT(version >= newest);
		newest = version;
	}
}

RC_GTEST_PROP(Directory, aDrainingBackendNeverGetsNewWorkAgain, (const std::vector<std::uint8_t>& events))
{
	Directory directory;
	bool drained = false;
	std::uint64_t revision = 0;
	Micros now = kSecond;
	for (const std::uint8_t event : events)
	{
		++revision;
		now += kMillisecond;
		const bool draining = event % 7 == 0;
		const bool listed = event % 5 != 0;
		std::vector<BackendRecord> backends;
		if (listed)
		{
			backends.push_back(backendOf("b", draining));
			drained = drained || draining;
		}
		directory.apply({revision, configOf(1), backends, now}, now);
		const auto usable = directory.usableOf("model", now);
		RC_ASSERT(!drained || usable.empty());
	}
}

TEST(Directory, aVanishedRecordIsUsedBrieflyAndOnlyIfNoOtherIsLeft)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, kSecond}, kSecond);
	directory.apply({2, configOf(1), {backendOf("b")}, 2 * kSecond}, 2 * kSecond);
	ASSERT_EQ(directory.usableOf("model", 2 * kSecond).size(), 1u);
	EXPECT_EQ(directory.usableOf("model", 2 * kSecond)[0]->record.id, "b");
	directory.apply({3, configOf(1), {}, 3 * kSecond}, 3 * kSecond);
	EXPECT_FALSE(directory.usableOf("model", 3 * kSecond).empty());
	EXPECT_TRUE(directory.usableOf("model", 3 * kSecond + Directory::kVanishedGrace).empty());
}

TEST(Directory, anExpiredRecordThatCameBackIsUsedAgain)
{
	// Records expire while the store is down; only a server that reported its departure is reported to peers as
	// leaving.
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, 0}, kSecond);
	directory.apply({2, configOf(1), {backendOf("b", true)}, 0}, 2 * kSecond);
	EXPECT_EQ(directory.departures().since(0), std::vector<BackendIdentity>{{"b"}});
	directory.apply({3, configOf(1), {backendOf("a"), backendOf("b", true)}, 0}, 4 * kSecond);
	ASSERT_EQ(directory.usableOf("model", 4 * kSecond).size(), 1u);
	EXPECT_EQ(directory.usableOf("model", 4 * kSecond)[0]->record.id, "a");
}

TEST(Directory, recordsThatExpiredInAnOutageAreUsedUntilTheyAreBackOrGone)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, kSecond}, kSecond);
	const Micros back = kSecond + Directory::kOutageThreshold + kMillisecond;
	directory.onStoreUnreachable(back - kMillisecond);
	directory.apply({5, configOf(1), {}, back}, back);
	EXPECT_EQ(directory.usableOf("model", back).size(), 2u);
	// One record is renewed first: its server must not get the whole load.
	directory.apply({6, configOf(1), {backendOf("a")}, back + kSecond}, back + kSecond);
	EXPECT_EQ(directory.usableOf("model", back + kSecond).size(), 2u);
	const auto later = directory.usableOf("model", back + Directory::kLapsedGrace);
	ASSERT_EQ(later.size(), 1u);
	EXPECT_EQ(later[0]->record.id, "a");
}

TEST(Directory, aRecordRemovedWhileTheStoreAnswersDoesNotCountAsExpired)
{
	Directory directory;
	Micros now = kSecond;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, 0}, now);
	directory.onStoreUnreachable(now);
	for (int poll = 0; poll < 10; ++poll)
	{
		now += kSecond;
		directory.confirmList(now);
	}
	directory.apply({2, configOf(1), {backendOf("b")}, now + kSecond}, now + kSecond);
	EXPECT_EQ(directory.usableOf("model", now + kSecond).size(), 1u);
}

TEST(Directory, aListThatArrivedSlowlyIsNoOutageIfNoReadFailed)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, kSecond}, kSecond);
	const Micros late = kSecond + 2 * Directory::kOutageThreshold;
	directory.apply({5, configOf(1), {backendOf("b")}, late}, late);
	ASSERT_EQ(directory.usableOf("model", late).size(), 1u);
	EXPECT_FALSE(directory.takesWork({"a"}, late + Directory::kVanishedGrace));
	// Nor is it an outage if a read failed before the list was last confirmed.
	directory.onStoreUnreachable(late + kMillisecond);
	directory.confirmList(late + 2 * kMillisecond);
	directory.apply({6, configOf(1), {}, 2 * late}, 2 * late);
	EXPECT_FALSE(directory.takesWork({"b"}, 2 * late + Directory::kVanishedGrace));
}

TEST(Directory, anEarlierReadOfTheWholeStoreRestoresNoRemovedServer)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b")}, kSecond}, kSecond);
	directory.applyList({7, {backendOf("b")}, 2 * kSecond}, 2 * kSecond);
	EXPECT_EQ(directory.listAge(3 * kSecond), kSecond);
	EXPECT_TRUE(directory.apply({4, configOf(2), {backendOf("a"), backendOf("b")}, kSecond}, 3 * kSecond));
	ASSERT_EQ(directory.usableOf("model", 3 * kSecond).size(), 1u);
	EXPECT_EQ(directory.usableOf("model", 3 * kSecond)[0]->record.id, "b");
	directory.applyList({3, {backendOf("a")}, kSecond}, 3 * kSecond);
	EXPECT_EQ(directory.usableOf("model", 3 * kSecond)[0]->record.id, "b");
	EXPECT_EQ(directory.listAge(3 * kSecond), kSecond);
}

TEST(Directory, aReadOvertakenByNewerContentConfirmsThatContent)
{
	Directory directory;
	directory.apply({9, configOf(2), {backendOf("a")}, kSecond}, kSecond);
	EXPECT_FALSE(directory.apply({8, configOf(1), {backendOf("b")}, 5 * kSecond}, 6 * kSecond));
	EXPECT_EQ(directory.config()->version, 2u);
	ASSERT_EQ(directory.usableOf("model", 6 * kSecond).size(), 1u);
	EXPECT_EQ(directory.usableOf("model", 6 * kSecond)[0]->record.id, "a");
	EXPECT_EQ(directory.listAge(6 * kSecond), kSecond);
	EXPECT_EQ(directory.age(6 * kSecond), kSecond);
}

RC_GTEST_PROP(Directory, everyUsableBackendTakesWork, (const std::vector<std::uint8_t>& events))
{
	Directory directory;
	std::uint64_t revision = 0;
	Micros now = kSecond;
	for (const std::uint8_t event : events)
	{
		++revision;
		now += static_cast<Micros>(event % 11) * 100 * kMillisecond;
		if (event % 7 == 0)
		{
			directory.onStoreUnreachable(now);
		}
		std::vector<BackendRecord> backends;
		if (event % 2 == 0)
		{
			backends.push_back(backendOf("a", event % 13 == 0));
		}
		if (event % 3 == 0)
		{
			backends.push_back(backendOf("b"));
		}
		directory.applyList({revision, backends, now}, now);
		for (const KnownBackend* backend : directory.usableOf("model", now))
		{
			RC_ASSERT(directory.takesWork(backend->record.identity(), now));
		}
	}
}

TEST(Directory, aLeavingBackendIsNotUsedAfterItsRecordExpired)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a", true), backendOf("b")}, kSecond}, kSecond);
	const Micros back = kSecond + 2 * Directory::kOutageThreshold;
	directory.onStoreUnreachable(back - kMillisecond);
	directory.apply({5, configOf(1), {}, back}, back);
	ASSERT_EQ(directory.usableOf("model", back).size(), 1u);
	EXPECT_EQ(directory.usableOf("model", back)[0]->record.id, "b");
}

TEST(Directory, reportsEachDepartureOnceWithItsSource)
{
	Directory directory;
	directory.apply({1, configOf(1), {backendOf("a"), backendOf("b"), backendOf("c")}, 0}, kSecond);
	EXPECT_TRUE(directory.takeDepartureNotices().empty());
	directory.markDraining({"a"}, DepartureSource::Peer, 2 * kSecond);
	directory.markDraining({"a"}, DepartureSource::Peer, 2 * kSecond);
	directory.apply({2, configOf(1), {backendOf("a", true), backendOf("b", true)}, 0}, 2 * kSecond);
	directory.apply({3, configOf(1), {backendOf("a", true), backendOf("b", true)}, 0}, 3 * kSecond);
	std::vector<std::pair<std::string, std::string>> notices;
	for (const DepartureNotice& notice : directory.takeDepartureNotices())
	{
		notices.emplace_back(notice.backend.id, toString(notice.source));
	}
	const std::vector<std::pair<std::string, std::string>> expected{
		{"a", "peer"}, {"b", "record"}, {"c", "missing"}};
	EXPECT_EQ(notices, expected);
	EXPECT_TRUE(directory.takeDepartureNotices().empty());
}

TEST(Directory, ageCountsFromTheSendingOfTheConfirmingRead)
{
	Directory directory;
	EXPECT_GT(directory.age(kSecond), 3600 * kSecond);
	directory.apply({1, configOf(1), {}, 5 * kSecond}, 6 * kSecond);
	EXPECT_EQ(directory.age(7 * kSecond), 2 * kSecond);
	directory.confirm(4 * kSecond);
	EXPECT_EQ(directory.age(7 * kSecond), 2 * kSecond);
}

RC_GTEST_PROP(ContentHistory, aFollowerGetsTheContentOfItsRelay, (const std::vector<std::uint8_t>& steps))
{
	// A store changes, a relay reads it at irregular intervals, and a follower requests updates from the relay.
	StoreContent store;
	StoreContent relay;
	StoreContent follower;
	ContentHistory history;
	const auto readStore = [&]
	{
		const StoreContent before = relay;
		relay = store;
		history.onReplaced(before, relay);
	};
	store.revision = 1;
	readStore();
	follower = relay;
	for (const std::uint8_t step : steps)
	{
		const std::string key = "k" + std::to_string(step % 5);
		switch (step / 5 % 4)
		{
		case 0:
			++store.revision;
			store.items[key] = {key, std::to_string(step), store.revision};
			break;
		case 1:
			++store.revision;
			store.items.erase(key);
			break;
		case 2:
			readStore();
			break;
		default:
			RC_ASSERT(history.covers(follower.revision));
			applyUpdate(follower, history.updateSince(relay, follower.revision));
			RC_ASSERT(follower.revision == relay.revision);
			RC_ASSERT(follower.items.size() == relay.items.size());
			for (const auto& [name, item] : relay.items)
			{
				RC_ASSERT(follower.items[name].value == item.value);
			}
		}
	}
}

TEST(ContentHistory, coversOnlyRememberedRevisionsAndOmitsLargeValues)
{
	ContentHistory history;
	StoreContent content;
	EXPECT_FALSE(history.covers(0));
	content.revision = 10;
	content.items["large"] = {"large", std::string(ContentHistory::kValueBytes + 1, 'x'), 9};
	history.onReplaced({}, content);
	EXPECT_FALSE(history.covers(9));
	EXPECT_TRUE(history.covers(11)) << "a follower with newer content gets an empty update, not an error";
	const ContentUpdate nothing = history.updateSince(content, 11);
	EXPECT_EQ(nothing.revision, 10u);
	EXPECT_TRUE(nothing.items.empty() && nothing.leftOut.empty() && nothing.removed.empty());
	StoreContent next = content;
	next.revision = 12;
	next.items["large"].revision = 12;
	history.onReplaced(content, next);
	const ContentUpdate update = history.updateSince(next, 10);
	ASSERT_EQ(update.leftOut.size(), 1u);
	EXPECT_EQ(update.leftOut[0].revision, 12u);
	EXPECT_TRUE(update.items.empty());
	for (std::size_t round = 0; round <= ContentHistory::kRemovals; ++round)
	{
		StoreContent with = next;
		++with.revision;
		with.items["k"] = {"k", "", with.revision};
		history.onReplaced(next, with);
		next = with;
		++next.revision;
		next.items.erase("k");
		history.onReplaced(with, next);
	}
	EXPECT_FALSE(history.covers(12));
	EXPECT_TRUE(history.covers(next.revision - 2));
}

TEST(RelayChoice, choosesTheFirstMemberOfTheDataCentreThatAnswers)
{
	RelayChoice second({"10.0.0.2", "a"});
	EXPECT_FALSE(second.relay(0));
	second.setMembers({{"10.0.0.5", "b"}, {"10.0.0.2", "a"}, {"10.0.0.3", "a"}});
	EXPECT_FALSE(second.relay(0)) << "a member follows only members that rank before it";
	RelayChoice third({"10.0.0.3", "a"});
	third.setMembers({{"10.0.0.1", "a"}, {"10.0.0.2", "a"}, {"10.0.0.3", "a"}});
	EXPECT_EQ(third.relay(0), "10.0.0.1");
	third.onFailed("10.0.0.1", kSecond);
	EXPECT_EQ(third.relay(kSecond), "10.0.0.2");
	third.onFailed("10.0.0.2", kSecond);
	EXPECT_FALSE(third.relay(kSecond));
	EXPECT_EQ(third.relay(2 * kSecond + RelayChoice::kFailureCooldown), "10.0.0.1");
}

TEST(RelayChoice, aSilentMemberIsChosenAgainAfterItsWarmUp)
{
	RelayChoice third({"10.0.0.3", "a"});
	third.setMembers({{"10.0.0.1", "a"}, {"10.0.0.2", "a"}, {"10.0.0.3", "a"}});
	third.onHeard("10.0.0.1", kSecond);
	EXPECT_EQ(third.topMembers("a", 1), std::vector<std::string>{"10.0.0.1"});
	third.onSilent("10.0.0.1");
	EXPECT_EQ(third.topMembers("a", 1), std::vector<std::string>{"10.0.0.2"});
	third.onHeard("10.0.0.1", 5 * kSecond);
	EXPECT_EQ(third.topMembers("a", 1), std::vector<std::string>{"10.0.0.2"});
	EXPECT_EQ(third.relay(5 * kSecond), "10.0.0.2");
	third.onSilent("10.0.0.1");
	third.onHeard("10.0.0.1", 7 * kSecond);
	third.onHeard("10.0.0.1", 7 * kSecond + RelayChoice::kWarmUp - 1);
	EXPECT_EQ(third.silentTopMembers("a"), std::vector<std::string>{"10.0.0.1"});
	third.onHeard("10.0.0.1", 7 * kSecond + RelayChoice::kWarmUp);
	EXPECT_EQ(third.topMembers("a", 1), std::vector<std::string>{"10.0.0.1"});
}

TEST(RelayChoice, ranksLargeVMsFirstAndPrefersTheDutyHolderAndOtherDataCentresToTheStore)
{
	std::set<MemberRecord> members{{"10.0.0.1", "a", 12},
								   {"10.0.0.2", "a", 50},
								   {"10.1.0.1", "b", 12},
								   {"10.1.0.2", "b", 50},
								   {"10.1.0.3", "b", 12}};
	RelayChoice ofFew({"10.1.0.2", "b", 50});
	ofFew.setMembers(members);
	EXPECT_FALSE(ofFew.relay(0)) << "in a small fleet each data centre has a member that reads the store";
	for (unsigned number = 10; members.size() <= RelayChoice::kSmallFleet; ++number)
	{
		members.insert({"10.1.0." + std::to_string(number), "b", 1});
	}
	RelayChoice small({"10.0.0.1", "a", 12});
	small.setMembers(members);
	EXPECT_EQ(small.relay(0), "10.0.0.2") << "the larger VM of the data centre";
	RelayChoice first({"10.1.0.2", "b", 50});
	first.setMembers(members);
	EXPECT_EQ(first.relay(0), "10.0.0.2") << "a top member of another data centre that ranks before it";
	first.setDutyHolder("10.1.0.3");
	EXPECT_EQ(first.relay(0), "10.1.0.3") << "the duty holder reads the store in any case";
	first.onFailed("10.1.0.3", 0);
	EXPECT_EQ(first.relay(0), "10.0.0.2");
	first.onFailed("10.0.0.2", 0);
	EXPECT_FALSE(first.relay(0)) << "no usable member ranks before it";
	EXPECT_EQ(first.topMembers("b", 2), (std::vector<std::string>{"10.1.0.2", "10.1.0.1"}));
	first.onSilent("10.1.0.1");
	EXPECT_EQ(first.topMembers("b", 2), (std::vector<std::string>{"10.1.0.2", "10.1.0.3"}));
	first.onFailed("10.1.0.3", 0);
	EXPECT_EQ(first.topMembers("b", 2).back(), "10.1.0.3") << "old content does not exclude a collector";
	EXPECT_EQ(first.silentTopMembers("b"), (std::vector<std::string>{"10.1.0.1"}));
	first.onHeard("10.1.0.1", 0);
	first.onHeard("10.1.0.1", RelayChoice::kWarmUp);
	EXPECT_EQ(first.topMembers("b", 2).back(), "10.1.0.1");
	EXPECT_TRUE(first.silentTopMembers("b").empty());
	EXPECT_EQ(first.position(), 1u);
	EXPECT_EQ(small.position(), 2u);
	RelayChoice unlisted({"10.2.0.1", "c"});
	unlisted.setMembers(members);
	EXPECT_FALSE(unlisted.position());
}

RC_GTEST_PROP(RelayChoice, neverFormsACycle, (const std::vector<std::uint8_t>& memberSeeds))
{
	std::set<MemberRecord> members;
	for (const std::uint8_t memberSeed : memberSeeds)
	{
		members.insert({"10.0.0." + std::to_string(members.size()),
						std::string(1, static_cast<char>('a' + memberSeed % 5)), memberSeed % 3u});
	}
	std::map<std::string, std::string> relayOf;
	for (const MemberRecord& member : members)
	{
		RelayChoice choice(member);
		choice.setMembers(members);
		const auto relay = choice.relay(0);
		if (relay)
		{
			relayOf[member.host] = *relay;
		}
	}
	const bool small = members.size() <= RelayChoice::kSmallFleet;
	std::set<std::string> dataCentres;
	for (const MemberRecord& member : members)
	{
		dataCentres.insert(member.dataCentre);
	}
	RC_ASSERT(relayOf.size() + (small ? dataCentres.size() : 1) == members.size());
	for (const MemberRecord& member : members)
	{
		std::string at = member.host;
		std::size_t steps = 0;
		for (auto next = relayOf.find(at); next != relayOf.end(); next = relayOf.find(at))
		{
			at = next->second;
			RC_ASSERT(++steps <= 3u);
		}
	}
}

} // namespace beacongate::test
