// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of what gateways remember of where streams began, without a network.

#include "coordination/streamorigins.h"
#include "coordination/originlogplan.h"
#include "protocol/originlogcodec.h"

#include "versionlist.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace beacongate::test
{
namespace
{
const std::string kService = "model";
constexpr Micros kFresh = 100 * kMillisecond;
constexpr Micros kStale = 10 * kSecond;

/// One gateway of a simulated fleet.
struct Member
{
	Member(const std::string& _host, Micros _now) : origins(history, _host, 1)
	{
		setVersions({"v1", "v2"}, _now);
	}

	void setVersions(const std::vector<std::string>& _versions, Micros _now)
	{
		directory.applyList(listOfVersions(kService, _versions, ++revision, _now), _now);
		history.update(directory, _now);
	}

	Directory directory;
	VersionHistory history{kLongAgo};
	StreamOrigins origins;
	std::uint64_t revision = 0;
	bool reachable = true;
	std::size_t sent = 0;
};

/// Gateways that exchange messages at once; a message to one that is not reachable is lost.
class Fleet
{
public:
	Fleet(unsigned _dataCentres, unsigned _perDataCentre)
	{
		std::set<MemberRecord> records;
		for (unsigned number = 0; number < _dataCentres * _perDataCentre; ++number)
		{
			const std::string host = "10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200);
			hosts.push_back(host);
			records.insert({host, "z" + std::to_string(number % _dataCentres), 100});
		}
		for (const std::string& host : hosts)
		{
			members[host] = std::make_unique<Member>(host, now);
			members[host]->origins.setMembers(records);
			connect(host);
		}
		m_records = records;
	}

	/// Replaces a gateway by a new process, which knows nothing.
	void restart(const std::string& _host)
	{
		members[_host] = std::make_unique<Member>(_host, now);
		members[_host]->origins.setMembers(m_records);
		connect(_host);
	}

	/// Searches until there is a result.
	OriginVerdict search(const std::string& _host, StreamKey _stream, Micros _listAge = kFresh)
	{
		OriginTicket ticket;
		OriginVerdict verdict;
		const Micros started = now;
		while (verdict.state == OriginState::Pending)
		{
			verdict = members[_host]->origins.search(ticket, _stream, ServiceKey(kService), _listAge, now, [] {});
			now += 10 * kMillisecond;
		}
		longestSearch = std::max(longestSearch, now - started);
		EXPECT_EQ(ticket.id, 0u);
		return verdict;
	}

	std::map<std::string, std::unique_ptr<Member>> members;
	std::vector<std::string> hosts;
	Micros now = 1000 * kSecond;
	Micros longestSearch = 0;

private:
	void connect(const std::string& _host)
	{
		members[_host]->origins.setSend(
			[this, _host](const std::string& _to, const StreamOriginMessage& _message)
			{
				++members[_host]->sent;
				if (members[_host]->reachable && members[_to]->reachable)
				{
					members[_to]->origins.onMessage(_host, _message, now);
				}
			});
	}

	std::set<MemberRecord> m_records;
};

VersionKey versionKey(const std::string& _version)
{
	return {kService, _version};
}

StreamKey streamKey(unsigned _number)
{
	return {"team", "attempt-" + std::to_string(_number)};
}
} // namespace

TEST(StreamOrigins, anyGatewayFindsWhereAStreamBegan)
{
	Fleet fleet(4, 2);
	for (unsigned number = 0; number < 200; ++number)
	{
		const std::string& first = fleet.hosts[number % fleet.hosts.size()];
		const std::string& second = fleet.hosts[(number + 3) % fleet.hosts.size()];
		const VersionKey version = versionKey(number % 2 == 0 ? "v1" : "v2");
		fleet.members[first]->origins.onBegun(streamKey(number), version, 15 * kSecond, fleet.now);
		const OriginVerdict verdict = fleet.search(second, streamKey(number));
		EXPECT_EQ(verdict.state, OriginState::Known);
		EXPECT_EQ(verdict.version, version);
	}
}

TEST(StreamOrigins, streamsAreFoundAfterAWholeDataCentreIsLost)
{
	Fleet fleet(4, 10);
	unsigned found = 0;
	constexpr unsigned kStreams = 200;
	for (unsigned number = 0; number < kStreams; ++number)
	{
		fleet.members[fleet.hosts[0]]->origins.onBegun(streamKey(number), versionKey("v2"), kSecond, fleet.now);
	}
	for (unsigned number = 0; number < fleet.hosts.size(); number += 4)
	{
		fleet.members[fleet.hosts[number]]->reachable = false;
	}
	for (unsigned number = 0; number < kStreams; ++number)
	{
		const OriginVerdict verdict = fleet.search(fleet.hosts[1], streamKey(number));
		found += verdict.state == OriginState::Known && verdict.version == versionKey("v2") ? 1 : 0;
	}
	EXPECT_EQ(found, kStreams);
}

TEST(StreamOrigins, aStreamIsNeverFoundAtAnotherVersionWhateverIsLost)
{
	for (unsigned seed = 1; seed <= 50; ++seed)
	{
		std::minstd_rand random(seed);
		Fleet fleet(4, 2 + seed % 5);
		unsigned refused = 0;
		unsigned searched = 0;
		for (unsigned number = 0; number < 60; ++number)
		{
			const VersionKey version = versionKey(random() % 2 == 0 ? "v1" : "v2");
			const std::string first = fleet.hosts[random() % fleet.hosts.size()];
			fleet.members[first]->origins.onBegun(streamKey(number), version, 15 * kSecond, fleet.now);
			const std::string lost = fleet.hosts[random() % fleet.hosts.size()];
			random() % 2 == 0 ? fleet.restart(lost)
							  : static_cast<void>(fleet.members[lost]->reachable = random() % 3 == 0);
			const std::string second = fleet.hosts[random() % fleet.hosts.size()];
			fleet.members[second]->reachable = true;
			const OriginVerdict verdict =
				fleet.search(second, streamKey(number), random() % 2 == 0 ? kFresh : kStale);
			EXPECT_TRUE(verdict.state == OriginState::Unknown || verdict.version == version)
				<< seed << ' ' << number;
			++searched;
			refused += verdict.state == OriginState::Unknown ? 1 : 0;
			fleet.members[lost]->reachable = true;
		}
		EXPECT_LT(refused, searched / 2) << seed;
	}
}

TEST(StreamOrigins, anUnknownStreamGoesOnWhereOneVersionIsPossible)
{
	Fleet fleet(2, 2);
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(1)).state, OriginState::Unknown);
	for (const std::string& host : fleet.hosts)
	{
		fleet.members[host]->setVersions({"v1"}, fleet.now);
	}
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(2)).state, OriginState::Unknown)
		<< "v2 has left, but a stream that began there may be taken up";
	fleet.now += VersionHistory::kRetention + 20 * kSecond;
	for (const std::string& host : fleet.hosts)
	{
		fleet.members[host]->setVersions({"v1"}, fleet.now);
	}
	const OriginVerdict verdict = fleet.search(fleet.hosts[0], streamKey(3));
	EXPECT_EQ(verdict.state, OriginState::Known);
	EXPECT_EQ(verdict.version, versionKey("v1"));
}

TEST(StreamOrigins, aGatewayThatHasJustStartedHearsOfVersionsThatHaveLeft)
{
	Fleet fleet(2, 2);
	for (const std::string& host : fleet.hosts)
	{
		fleet.members[host]->setVersions({"v1"}, fleet.now);
	}
	const std::string& host = fleet.hosts[0];
	fleet.members[host] = nullptr;
	fleet.restart(host);
	fleet.members[host]->history = VersionHistory(kLongAgo);
	fleet.members[host]->directory = Directory();
	fleet.members[host]->setVersions({"v1"}, fleet.now);
	EXPECT_EQ(fleet.search(host, streamKey(1)).state, OriginState::Unknown);
}

TEST(StreamOrigins, aGatewayThatIsCutOffTrustsOnlyAFreshList)
{
	Fleet fleet(2, 2);
	const std::string& host = fleet.hosts[0];
	fleet.now += VersionHistory::kRetention + 20 * kSecond;
	fleet.members[host]->history = VersionHistory(kLongAgo);
	fleet.members[host]->directory = Directory();
	fleet.members[host]->setVersions({"v1"}, fleet.now);
	fleet.members[host]->reachable = false;
	const OriginVerdict stale = fleet.search(host, streamKey(1), kStale);
	EXPECT_EQ(stale.state, OriginState::Unknown);
	EXPECT_TRUE(stale.mayBeKnown);
	EXPECT_EQ(fleet.search(host, streamKey(2), kFresh).state, OriginState::Known);
	EXPECT_LE(fleet.longestSearch, StreamOrigins::kSearchTimeout + 20 * kMillisecond);
}

TEST(StreamOrigins, aGatewayThatIsBehindTheStoreDoesNotTakeItsOnlyVersionForTheOnlyOneThereIs)
{
	Fleet fleet(2, 2);
	fleet.now += VersionHistory::kRetention + 20 * kSecond;
	for (const std::string& host : fleet.hosts)
	{
		fleet.members[host]->history = VersionHistory(kLongAgo);
		fleet.members[host]->directory = Directory();
		fleet.members[host]->setVersions({"v1"}, fleet.now);
	}
	// A stream began at v2 at a gateway that is lost, and all others last read the store before v2 was there.
	const Micros lastRead = fleet.now;
	StreamOrigins& origins = fleet.members[fleet.hosts[0]]->origins;
	OriginTicket ticket;
	fleet.now += 100 * kMillisecond;
	const auto search = [&](Micros _read)
	{
		fleet.now += 100 * kMillisecond;
		return origins.search(ticket, streamKey(1), ServiceKey(kService), fleet.now - _read, fleet.now, [] {});
	};
	EXPECT_EQ(search(lastRead).state, OriginState::Pending);
	const OriginVerdict waiting = search(lastRead);
	EXPECT_EQ(waiting.state, OriginState::Pending);
	EXPECT_TRUE(waiting.needsContent);
	fleet.members[fleet.hosts[0]]->setVersions({"v1", "v2"}, fleet.now);
	EXPECT_EQ(search(fleet.now).state, OriginState::Unknown);
}

TEST(StreamOrigins, gatewaysThatHaveAllJustStartedDoNotTakeTheirOnlyVersionForTheOnlyOneThereWas)
{
	Fleet fleet(2, 2);
	for (const std::string& host : fleet.hosts)
	{
		fleet.members[host]->history = VersionHistory(fleet.now);
		fleet.members[host]->directory = Directory();
		fleet.members[host]->setVersions({"v1"}, fleet.now);
	}
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(1)).state, OriginState::Unknown);
	fleet.now += VersionHistory::kRetention;
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(2)).state, OriginState::Known);
}

TEST(StreamOrigins, costsDoNotGrowWithTheFleet)
{
	for (const unsigned perDataCentre : {2u, 100u})
	{
		Fleet fleet(30, perDataCentre);
		Member& first = *fleet.members[fleet.hosts[5]];
		Member& second = *fleet.members[fleet.hosts[17]];
		first.origins.onBegun(streamKey(1), versionKey("v1"), kSecond, fleet.now);
		EXPECT_LE(first.sent, StreamOrigins::kHolders);
		EXPECT_EQ(fleet.search(fleet.hosts[17], streamKey(1)).version, versionKey("v1"));
		EXPECT_LE(second.sent, StreamOrigins::kAsked);
	}
}

TEST(StreamOrigins, recordsOfStreamsThatBeganHereFindThemAfterAllGatewaysAreReplaced)
{
	Fleet fleet(2, 2);
	const std::string& first = fleet.hosts[0];
	const std::string& second = fleet.hosts[1];
	for (unsigned number = 0; number < 10; ++number)
	{
		fleet.members[first]->origins.onBegun(streamKey(number), versionKey("v2"), kSecond, fleet.now);
	}
	fleet.members[first]->origins.onCompleted(streamKey(3));
	const auto records = fleet.members[first]->origins.ownRecords(8, fleet.now);
	ASSERT_EQ(records.size(), 8u);
	EXPECT_EQ(records.front().stream, streamKey(9)) << "the newest are kept";
	const auto decoded = decodeOriginLog(encodeOriginLog(records));
	ASSERT_TRUE(decoded);
	for (const std::string& host : fleet.hosts)
	{
		fleet.restart(host);
	}
	fleet.members[first]->origins.adopt(*decoded, true, fleet.now);
	for (const unsigned number : {1u, 9u})
	{
		const OriginVerdict verdict = fleet.search(first, streamKey(number));
		EXPECT_EQ(verdict.state, OriginState::Known);
		EXPECT_EQ(verdict.version, versionKey("v2"));
	}
	EXPECT_EQ(fleet.search(first, streamKey(3)).state, OriginState::Unknown) << "it was delivered whole";
	EXPECT_EQ(fleet.members[first]->origins.ownRecords(100, fleet.now).size(), 8u)
		<< "they outlive the next loss too";
	EXPECT_TRUE(fleet.members[second]->origins.ownRecords(100, fleet.now).empty());
}

TEST(StreamOrigins, nothingIsRecordedWhereOneVersionServes)
{
	Fleet fleet(1, 1);
	Member& member = *fleet.members[fleet.hosts[0]];
	member.origins.onBegun(streamKey(1), versionKey("v1"), kSecond, fleet.now);
	EXPECT_EQ(member.origins.ownRecords(10, fleet.now).size(), 1u);
	member.directory = Directory();
	member.history = VersionHistory(kLongAgo);
	member.setVersions({"v1"}, fleet.now);
	EXPECT_TRUE(member.origins.ownRecords(10, fleet.now).empty());
}

TEST(StreamOrigins, recordsInTheStoreCostTheFleetBoundedWritesAndBytes)
{
	for (const std::size_t members : {0u, 1u, 8u, 87u, 1972u, 10000u})
	{
		const double writes =
			static_cast<double>(members * kSecond) / static_cast<double>(OriginLogPlan::interval(members));
		constexpr double kStoreWrites = 400.0;
		EXPECT_LE(writes, kStoreWrites / 5) << members;
		std::vector<StreamOriginRecord> records(OriginLogPlan::records(members));
		for (std::size_t index = 0; index < records.size(); ++index)
		{
			records[index] = {streamKey(static_cast<unsigned>(index)), versionKey(index % 2 == 0 ? "v1" : "v2"), 0};
		}
		EXPECT_LE(members * encodeOriginLog(records).size(), OriginLogPlan::kFleetBytes + 32 * members) << members;
	}
}

TEST(OriginLogCodec, invalidRecordsAreRefused)
{
	for (const std::string& bytes : {std::string(), std::string("x"), std::string("\x93\x01\x90\x92\x01\x00", 6)})
	{
		EXPECT_FALSE(decodeOriginLog(bytes));
	}
}

TEST(StreamOrigins, memoryIsBoundedAndTheOldestGiveWay)
{
	Fleet fleet(1, 1);
	StreamOrigins& origins = fleet.members[fleet.hosts[0]]->origins;
	for (unsigned number = 0; number < StreamOrigins::kMaxStreams + 10; ++number)
	{
		origins.onBegun(streamKey(number), versionKey("v1"), kSecond, fleet.now);
	}
	EXPECT_EQ(origins.size(), StreamOrigins::kMaxStreams);
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(0)).state, OriginState::Unknown);
	EXPECT_EQ(fleet.search(fleet.hosts[0], streamKey(100)).state, OriginState::Known);
	fleet.now += StreamOrigins::kMinLifetime + kSecond;
	origins.expire(fleet.now);
	EXPECT_EQ(origins.size(), 0u);
}

TEST(StreamOrigins, anotherTeamsAttemptOfTheSameIdIsAnotherStream)
{
	EXPECT_NE(StreamKey("team", "attempt"), StreamKey("other", "attempt"));
	EXPECT_NE(VersionKey("model", "v1"), VersionKey("other", "v1"));
}

} // namespace beacongate::test
