// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Departures in messages between gateways while thousands of backend servers leave at once.

#include "coordination/departurelog.h"
#include "beacongate/limits.h"
#include "coordination/directory.h"
#include "coordination/gossip.h"
#include "protocol/gossipcodec.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
constexpr Micros kNow = 100 * kSecond;

std::vector<BackendRecord> recordsOf(unsigned _count, bool _draining)
{
	std::vector<BackendRecord> records;
	for (unsigned number = 0; number < _count; ++number)
	{
		BackendRecord record;
		record.id = "i-" + std::to_string(10'000'000 + number);
		record.service = "model";
		record.born = 1'796'000'000'000 + number;
		record.draining = _draining;
		records.push_back(record);
	}
	return records;
}

/// @returns a directory that has just learned that all of its backend servers are leaving.
Directory drainedDirectory(unsigned _servers)
{
	Directory directory;
	directory.applyList({1, recordsOf(_servers, false), kNow}, kNow);
	directory.applyList({2, recordsOf(_servers, true), kNow}, kNow);
	return directory;
}
} // namespace

/// An order for fewer engines drains thousands of servers within a second. With all of them in each message, one of
/// 2,800 departures has 80 kB, which no datagram carries: all reports of the fleet are lost for 2 s.
TEST(DepartureLog, aMessageStaysSmallHoweverManyServersLeave)
{
	for (const unsigned servers : {3'000U, 6'000U})
	{
		const Directory directory = drainedDirectory(servers);
		ASSERT_EQ(directory.departures().since(kNow).size(), servers);
		GossipMessage message;
		message.draining = directory.departures().select(kNow - kSecond, 0);
		EXPECT_EQ(message.draining.size(), DepartureLog::kMaxPerMessage);
		EXPECT_LE(encodeGossip(message).size(), 2'000u);
	}
}

TEST(DepartureLog, successiveMessagesNameAllDepartures)
{
	constexpr unsigned kServers = 300;
	const Directory directory = drainedDirectory(kServers);
	std::set<std::string> named;
	for (std::size_t turn = 0; turn * DepartureLog::kMaxPerMessage < kServers; ++turn)
	{
		for (const BackendIdentity& backend : directory.departures().select(kNow, turn))
		{
			named.insert(backend.id);
		}
	}
	EXPECT_EQ(named.size(), kServers);
}

TEST(DepartureLog, departuresThatNoListShowsComeFirst)
{
	Directory directory;
	directory.applyList({1, recordsOf(200, false), kNow}, kNow);
	std::vector<BackendRecord> records = recordsOf(200, true);
	const BackendIdentity answered = records.back().identity();
	records.back().draining = false;
	directory.markDraining(answered, DepartureSource::Answer, kNow);
	directory.applyList({2, records, kNow}, kNow);
	for (const std::size_t turn : {0U, 1U, 7U})
	{
		const auto selected = directory.departures().select(kNow, turn);
		ASSERT_FALSE(selected.empty());
		EXPECT_EQ(selected.front(), answered);
	}
}

TEST(DepartureLog, onlyRecentDeparturesAreSelected)
{
	DepartureLog log;
	log.add({"a", 1}, true, kNow);
	log.add({"b", 1}, true, kNow + 5 * kSecond);
	const std::vector<BackendIdentity> expected{{"b", 1}};
	EXPECT_EQ(log.select(kNow + kSecond, 0), expected);
	log.forget({"b", 1});
	EXPECT_TRUE(log.select(kNow + kSecond, 0).empty());
}

} // namespace beacongate::test
