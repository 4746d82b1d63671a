// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of seals, stale copies of claims, and lost homes.

#include "coordination/hometable.h"
#include "beacongate/limits.h"

#include <gtest/gtest.h>

#include <functional>

namespace beacongate
{
namespace
{
EntryRef entry(const std::string& _id)
{
	return EntryRef{_id, 1};
}

RosterMember member(const std::string& _id)
{
	RosterMember created;
	created.entry = entry(_id);
	created.peerAddress = Address{"127.0.0.1", static_cast<std::uint16_t>(_id.back())};
	return created;
}

Roster rosterOf(const std::vector<std::string>& _ids)
{
	Roster roster;
	for (const std::string& id : _ids)
	{
		roster = *withJoined(roster, member(id));
	}
	return roster;
}

std::shared_ptr<const Roster> sharedRoster(const Roster& _roster)
{
	return std::make_shared<const Roster>(_roster);
}

/// @returns a key whose home under each roster is the named entry.
std::string keyWithHomes(const std::vector<std::pair<Roster, std::string>>& _homes)
{
	for (int ii = 0; ii < 100'000; ++ii)
	{
		std::string key = "key" + std::to_string(ii);
		bool all = true;
		for (const auto& [roster, id] : _homes)
		{
			all = all && homeOf(key, roster)->entry.id == id;
		}
		if (all)
		{
			return key;
		}
	}
	return {};
}

ClaimRequest claimRequest(const std::string& _requester, std::uint64_t _number, const std::string& _key,
						  std::uint64_t _issued = 0)
{
	ClaimRequest request;
	request.requestRef = ClaimRequestRef{entry(_requester), _number};
	request.key = _key;
	request.issuedVersion = _issued;
	return request;
}

/// Delivers the seals of one table to another.
void deliverSeals(const std::vector<Addressed>& _seals, const std::string& _from, const std::string& _to,
				  HomeTable& _table)
{
	for (const Addressed& item : _seals)
	{
		if (item.to == entry(_to))
		{
			_table.onSeal(entry(_from), std::get<Seal>(item.message), 0);
		}
	}
}
} // namespace

TEST(HomeTable, grantsOnceAndNamesTheHolderToOthers)
{
	HomeTable home(entry("a"));
	home.adopt(sharedRoster(rosterOf({"a"})), {}, 0);
	EXPECT_EQ(ClaimVerdict::Granted, home.onClaimRequest(claimRequest("b", 1, "k"), 0).verdict);
	EXPECT_EQ(ClaimVerdict::Granted, home.onClaimRequest(claimRequest("b", 1, "k"), 0).verdict)
		<< "the same request again";
	const ClaimReply other = home.onClaimRequest(claimRequest("c", 1, "k"), 0);
	EXPECT_EQ(ClaimVerdict::Held, other.verdict);
	EXPECT_EQ(entry("b"), other.claim.executor.entry);
}

TEST(HomeTable, aNewHomeServesOnlyAfterTheOldOneSealed)
{
	const Roster one = rosterOf({"a"});
	const Roster two = rosterOf({"a", "b"});
	const std::string key = keyWithHomes({{one, "a"}, {two, "b"}});
	HomeTable a(entry("a"));
	HomeTable b(entry("b"));
	a.adopt(sharedRoster(one), {}, 0);
	b.adopt(sharedRoster(two), {}, 0);
	EXPECT_EQ(ClaimVerdict::Granted, a.onClaimRequest(claimRequest("x", 1, key), 0).verdict);
	EXPECT_EQ(ClaimVerdict::NotReady, b.onClaimRequest(claimRequest("y", 1, key), 0).verdict);
	deliverSeals(a.adopt(sharedRoster(two), {}, 0), "a", "b", b);
	EXPECT_EQ(ClaimVerdict::NotHome, a.onClaimRequest(claimRequest("z", 1, key), 0).verdict);
	const ClaimReply reply = b.onClaimRequest(claimRequest("y", 1, key), 0);
	EXPECT_EQ(ClaimVerdict::Held, reply.verdict);
	EXPECT_EQ(entry("x"), reply.claim.executor.entry);
}

TEST(HomeTable, aStaleCopyOfAReleasedClaimNeverWins)
{
	// The key's home moves from a to b to c, and a keeps its copy of the first claim.
	const Roster one = rosterOf({"a"});
	const Roster two = rosterOf({"a", "b"});
	const Roster three = rosterOf({"a", "b", "c"});
	const std::string key = keyWithHomes({{one, "a"}, {two, "b"}, {three, "c"}});
	HomeTable a(entry("a"));
	HomeTable b(entry("b"));
	HomeTable c(entry("c"));
	a.adopt(sharedRoster(one), {}, 0);
	b.adopt(sharedRoster(two), {}, 0);
	c.adopt(sharedRoster(three), {}, 0);
	a.onClaimRequest(claimRequest("x", 1, key), 0);
	deliverSeals(a.adopt(sharedRoster(two), {}, 0), "a", "b", b);
	b.onClaimUpdate(ClaimUpdate{key, ClaimRequestRef{entry("x"), 1}, ExecutionResult::NotStarted, {}});
	ASSERT_EQ(ClaimVerdict::Granted, b.onClaimRequest(claimRequest("y", 1, key), 0).verdict)
		<< "the claim was released";
	// The newer claim has to win in both orders of the two seals.
	HomeTable d = c;
	const std::vector<Addressed> fromA = a.adopt(sharedRoster(three), {}, 0);
	const std::vector<Addressed> fromB = b.adopt(sharedRoster(three), {}, 0);
	deliverSeals(fromA, "a", "c", c);
	deliverSeals(fromB, "b", "c", c);
	deliverSeals(fromB, "b", "c", d);
	deliverSeals(fromA, "a", "c", d);
	for (HomeTable* table : {&c, &d})
	{
		ClaimRequest request = claimRequest("z", 1, key);
		request.released = ClaimRequestRef{entry("x"), 1}; // True, but y holds the key now.
		const ClaimReply reply = table->onClaimRequest(request, 0);
		EXPECT_EQ(ClaimVerdict::Held, reply.verdict);
		EXPECT_EQ(entry("y"), reply.claim.executor.entry);
	}
}

TEST(HomeTable, aStaleCopyIsNotFreedWhenALostHomeMayHaveGrantedSince)
{
	// b is lost with its newer claim, and a becomes home again with only its old copy.
	const Roster one = rosterOf({"a"});
	const Roster two = rosterOf({"a", "b"});
	const Roster three = *withLost(two, entry("b"));
	const std::string key = keyWithHomes({{one, "a"}, {two, "b"}, {three, "a"}});
	HomeTable a(entry("a"));
	a.adopt(sharedRoster(one), {}, 0);
	a.onClaimRequest(claimRequest("x", 1, key), 0);
	a.adopt(sharedRoster(two), {}, 0);
	a.adopt(sharedRoster(three), {}, 0);
	ClaimRequest request = claimRequest("z", 1, key, one.version);
	request.released = ClaimRequestRef{entry("x"), 1};
	EXPECT_EQ(ClaimVerdict::Suspect, a.onClaimRequest(request, 0).verdict);
	const std::string newKey = keyWithHomes({{two, "b"}, {three, "a"}});
	EXPECT_EQ(ClaimVerdict::Granted,
			  a.onClaimRequest(claimRequest("z", 2, newKey + "-new", three.version), 0).verdict);
}

TEST(HomeTable, aKeyFromBeforeTheLossIsSuspectAndOneFromAfterIsNot)
{
	const Roster two = rosterOf({"a", "b"});
	const Roster three = *withLost(two, entry("b"));
	const std::string key = keyWithHomes({{two, "b"}});
	HomeTable a(entry("a"));
	a.adopt(sharedRoster(three), {}, 0);
	EXPECT_EQ(ClaimVerdict::Suspect, a.onClaimRequest(claimRequest("x", 1, key, two.version), 0).verdict);
	EXPECT_EQ(ClaimVerdict::Granted, a.onClaimRequest(claimRequest("x", 2, key, three.version), 0).verdict);
}

TEST(HomeTable, aHomeBehindTheKeysVersionDoesNotGrantIt)
{
	HomeTable outdated(entry("b"));
	outdated.adopt(sharedRoster(rosterOf({"b"})), {}, 0);
	EXPECT_EQ(ClaimVerdict::NotReady, outdated.onClaimRequest(claimRequest("x", 1, "k", 7), 0).verdict);
}

TEST(HomeTable, keysAreForgottenAfterTheClaimWindow)
{
	HomeTable home(entry("a"));
	home.adopt(sharedRoster(rosterOf({"a"})), {}, 0);
	home.onClaimRequest(claimRequest("b", 1, "k"), 0);
	home.expire(limits::kClaimWindow - 1);
	EXPECT_EQ(1u, home.size());
	home.expire(limits::kClaimWindow);
	EXPECT_EQ(0u, home.size());
}

} // namespace beacongate
