// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Seals, stale copies of claims, and lost homes, step by step.

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
	RosterMember made;
	made.entry = entry(_id);
	made.peerAddress = Address{"127.0.0.1", static_cast<std::uint16_t>(_id.back())};
	return made;
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

std::shared_ptr<const Roster> shared(const Roster& _roster)
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

ClaimRequest requestOf(const std::string& _asker, std::uint64_t _number, const std::string& _key,
					   std::uint64_t _issued = 0)
{
	ClaimRequest request;
	request.requestRef = ClaimRequestRef{entry(_asker), _number};
	request.key = _key;
	request.issuedVersion = _issued;
	return request;
}

/// Carries the seals of one table to another.
void carry(const std::vector<Addressed>& _seals, const std::string& _from, const std::string& _to,
		   HomeTable& _table)
{
	for (const Addressed& item : _seals)
	{
		if (item.to == entry(_to))
		{
			_table.seal(entry(_from), std::get<Seal>(item.message), 0);
		}
	}
}
} // namespace

TEST(HomeTable, grantsOnceAndTellsTheHolderToOthers)
{
	HomeTable home(entry("a"));
	home.adopt(shared(rosterOf({"a"})), {}, 0);
	EXPECT_EQ(ClaimVerdict::Granted, home.onClaimRequest(requestOf("b", 1, "k"), 0).verdict);
	EXPECT_EQ(ClaimVerdict::Granted, home.onClaimRequest(requestOf("b", 1, "k"), 0).verdict)
		<< "the same ask again";
	const ClaimReply other = home.onClaimRequest(requestOf("c", 1, "k"), 0);
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
	a.adopt(shared(one), {}, 0);
	b.adopt(shared(two), {}, 0);
	EXPECT_EQ(ClaimVerdict::Granted, a.onClaimRequest(requestOf("x", 1, key), 0).verdict);
	EXPECT_EQ(ClaimVerdict::NotReady, b.onClaimRequest(requestOf("y", 1, key), 0).verdict);
	carry(a.adopt(shared(two), {}, 0), "a", "b", b);
	EXPECT_EQ(ClaimVerdict::NotHome, a.onClaimRequest(requestOf("z", 1, key), 0).verdict);
	const ClaimReply reply = b.onClaimRequest(requestOf("y", 1, key), 0);
	EXPECT_EQ(ClaimVerdict::Held, reply.verdict);
	EXPECT_EQ(entry("x"), reply.claim.executor.entry);
}

TEST(HomeTable, aStaleCopyOfAGivenBackClaimNeverWins)
{
	// The key's home goes from a to b to c while a keeps its copy of the first claim.
	const Roster one = rosterOf({"a"});
	const Roster two = rosterOf({"a", "b"});
	const Roster three = rosterOf({"a", "b", "c"});
	const std::string key = keyWithHomes({{one, "a"}, {two, "b"}, {three, "c"}});
	HomeTable a(entry("a"));
	HomeTable b(entry("b"));
	HomeTable c(entry("c"));
	a.adopt(shared(one), {}, 0);
	b.adopt(shared(two), {}, 0);
	c.adopt(shared(three), {}, 0);
	a.onClaimRequest(requestOf("x", 1, key), 0);
	carry(a.adopt(shared(two), {}, 0), "a", "b", b);
	b.update(ClaimUpdate{key, ClaimRequestRef{entry("x"), 1}, ExecutionResult::NotStarted, {}});
	ASSERT_EQ(ClaimVerdict::Granted, b.onClaimRequest(requestOf("y", 1, key), 0).verdict) << "given back, so free";
	// Both orders of the two seals have to end with the newer claim.
	HomeTable d = c;
	const std::vector<Addressed> fromA = a.adopt(shared(three), {}, 0);
	const std::vector<Addressed> fromB = b.adopt(shared(three), {}, 0);
	carry(fromA, "a", "c", c);
	carry(fromB, "b", "c", c);
	carry(fromB, "b", "c", d);
	carry(fromA, "a", "c", d);
	for (HomeTable* table : {&c, &d})
	{
		ClaimRequest request = requestOf("z", 1, key);
		request.released = ClaimRequestRef{entry("x"), 1}; // True, and of no use: y holds the key now.
		const ClaimReply reply = table->onClaimRequest(request, 0);
		EXPECT_EQ(ClaimVerdict::Held, reply.verdict);
		EXPECT_EQ(entry("y"), reply.claim.executor.entry);
	}
}

TEST(HomeTable, aStaleCopyIsNotFreedWhenALostHomeMayHaveGrantedSince)
{
	// As above, but b is lost with its newer claim: only a's old copy reaches c.
	const Roster one = rosterOf({"a"});
	const Roster two = rosterOf({"a", "b"});
	const Roster three = *withLost(two, entry("b"));
	const std::string key = keyWithHomes({{one, "a"}, {two, "b"}, {three, "a"}});
	HomeTable a(entry("a"));
	a.adopt(shared(one), {}, 0);
	a.onClaimRequest(requestOf("x", 1, key), 0);
	a.adopt(shared(two), {}, 0);
	a.adopt(shared(three), {}, 0);
	ClaimRequest request = requestOf("z", 1, key, one.version);
	request.released = ClaimRequestRef{entry("x"), 1};
	EXPECT_EQ(ClaimVerdict::Suspect, a.onClaimRequest(request, 0).verdict);
	const std::string young = keyWithHomes({{two, "b"}, {three, "a"}});
	EXPECT_EQ(ClaimVerdict::Granted, a.onClaimRequest(requestOf("z", 2, young + "-new", three.version), 0).verdict);
}

TEST(HomeTable, aKeyFromBeforeTheLossIsSuspectAndOneFromAfterIsNot)
{
	const Roster two = rosterOf({"a", "b"});
	const Roster three = *withLost(two, entry("b"));
	const std::string key = keyWithHomes({{two, "b"}});
	HomeTable a(entry("a"));
	a.adopt(shared(three), {}, 0);
	EXPECT_EQ(ClaimVerdict::Suspect, a.onClaimRequest(requestOf("x", 1, key, two.version), 0).verdict);
	EXPECT_EQ(ClaimVerdict::Granted, a.onClaimRequest(requestOf("x", 2, key, three.version), 0).verdict);
}

TEST(HomeTable, aHomeBehindTheKeysVersionDoesNotGrantIt)
{
	HomeTable woken(entry("b"));
	woken.adopt(shared(rosterOf({"b"})), {}, 0);
	EXPECT_EQ(ClaimVerdict::NotReady, woken.onClaimRequest(requestOf("x", 1, "k", 7), 0).verdict);
}

TEST(HomeTable, keysAreForgottenAfterTheClaimWindow)
{
	HomeTable home(entry("a"));
	home.adopt(shared(rosterOf({"a"})), {}, 0);
	home.onClaimRequest(requestOf("b", 1, "k"), 0);
	home.expire(limits::kClaimWindow - 1);
	EXPECT_EQ(1u, home.size());
	home.expire(limits::kClaimWindow);
	EXPECT_EQ(0u, home.size());
}

} // namespace beacongate
