// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests what a gateway knows of software versions that it has not seen itself, and when the store's log of them is
/// written.

#include "coordination/versionhistory.h"
#include "protocol/versioncodec.h"

#include "versionlist.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr const char* kService = "m";
const ServiceKey kServiceKey(kService);
const VersionKey kFirst(kService, "v1");
const VersionKey kSecondVersion(kService, "v2");
constexpr Micros kStart = 5000 * kSecond;
/// True time at monotonic time 0.
constexpr Micros kEpoch = 1'800'000'000 * kSecond;
constexpr std::uint64_t kEra = 3;
/// A list without a server ends it once this time has passed.
constexpr Micros kDeparture = 20 * kSecond;

/// A gateway's list and its history.
class Gateway
{
public:
	explicit Gateway(Micros _completeSince) : history(_completeSince)
	{
	}

	void list(const std::vector<std::string>& _versions, Micros _now)
	{
		m_directory.applyList(listOfVersions(kService, _versions, ++m_revision, _now), _now);
		history.update(m_directory, _now);
	}

	/// Lists versions until the servers of others have ended.
	/// @returns the time then.
	Micros listAlone(const std::vector<std::string>& _versions, Micros _now)
	{
		list(_versions, _now);
		list(_versions, _now + kDeparture);
		return _now + kDeparture;
	}

	VersionLog log(Micros _now, std::uint64_t _era = kEra) const
	{
		return history.log(_era, _now, kEpoch + _now);
	}

	void adopt(const VersionLog& _log, Micros _now, std::uint64_t _era = kEra)
	{
		history.adopt(_log, _era, _now, kEpoch + _now);
	}

	bool needsWriting(const std::optional<VersionLog>& _stored, bool _mayDrop, Micros _now,
					  std::uint64_t _era = kEra) const
	{
		return history.needsWriting(_stored, _era, _mayDrop, _now, kEpoch + _now);
	}

	VersionHistory history;

private:
	Directory m_directory;
	std::uint64_t m_revision = 0;
};
} // namespace

TEST(VersionHistory, newProcessIsCompleteByTheStoresLogAlone)
{
	Gateway first(kLongAgo);
	first.list({"v1"}, kStart);
	Gateway second(kStart + kSecond);
	second.list({"v1"}, kStart + kSecond);
	EXPECT_FALSE(second.history.isComplete(kStart + kSecond));
	second.adopt(first.log(kStart), kStart + kSecond);
	EXPECT_TRUE(second.history.isComplete(kStart + kSecond));
	EXPECT_EQ(second.history.versionsOf(kServiceKey), std::vector<VersionKey>{kFirst});
}

TEST(VersionHistory, versionThatTheLogListsAndTheListDoesNotIsRemembered)
{
	Gateway first(kLongAgo);
	first.list({"v1", "v2"}, kStart);
	// The log was written long before the process ended.
	const Micros restarted = kStart + 10 * VersionHistory::kRetention;
	Gateway second(restarted);
	second.adopt(first.log(kStart), restarted);
	second.list({"v1"}, restarted);
	EXPECT_TRUE(second.history.contains(kServiceKey, kSecondVersion));
	second.list({"v1"}, restarted + VersionHistory::kRetention + 1);
	EXPECT_FALSE(second.history.contains(kServiceKey, kSecondVersion));
}

TEST(VersionHistory, versionThatLeftBeforeTheStreamsOfTodayIsForgotten)
{
	Gateway first(kLongAgo);
	first.list({"v1", "v2"}, kStart);
	const Micros left = first.listAlone({"v1"}, kStart + kSecond);
	const Micros restarted = left + VersionHistory::kRetention + kSecond;
	Gateway second(restarted);
	second.adopt(first.log(left), restarted);
	second.list({"v1"}, restarted);
	EXPECT_FALSE(second.history.contains(kServiceKey, kSecondVersion));
}

TEST(VersionHistory, copyOfAnEarlierEraNamesVersionsButIsNotComplete)
{
	Gateway first(kLongAgo);
	first.list({"v1", "v2"}, kStart);
	Gateway second(kStart);
	second.adopt(first.log(kStart, kEra), kStart, kEra + 1);
	EXPECT_FALSE(second.history.isComplete(kStart));
	EXPECT_TRUE(second.history.contains(kServiceKey, kSecondVersion));
	EXPECT_TRUE(first.needsWriting(first.log(kStart, kEra), false, kStart, kEra + 1));
	second.adopt(first.log(kStart, kEra + 1), kStart, kEra + 1);
	EXPECT_TRUE(second.history.isComplete(kStart));
}

TEST(VersionHistory, gatewayThatKnowsMoreWritesOverALogOfOneThatHasJustStarted)
{
	Gateway young(kStart);
	young.list({"v1"}, kStart);
	Gateway old(kStart - VersionHistory::kRetention);
	old.list({"v1"}, kStart);
	EXPECT_TRUE(old.needsWriting(young.log(kStart), false, kStart));
	EXPECT_FALSE(young.needsWriting(old.log(kStart), true, kStart));
}

TEST(VersionHistory, logIsWrittenOnlyWhereItLacksSomething)
{
	Gateway gateway(kLongAgo);
	gateway.list({"v1"}, kStart);
	const VersionLog stored = gateway.log(kStart);
	EXPECT_TRUE(gateway.needsWriting(std::nullopt, false, kStart));
	EXPECT_FALSE(gateway.needsWriting(stored, true, kStart));
	EXPECT_FALSE(gateway.needsWriting(stored, true, kStart + 100 * VersionHistory::kRetention));
	gateway.list({"v1", "v2"}, kStart + kSecond);
	EXPECT_TRUE(gateway.needsWriting(stored, false, kStart + kSecond));
	const VersionLog both = gateway.log(kStart + kSecond);
	const Micros after = gateway.listAlone({"v1"}, kStart + 2 * kSecond);
	EXPECT_FALSE(gateway.needsWriting(both, false, after)) << "lists differ for a moment";
	EXPECT_TRUE(gateway.needsWriting(both, true, after));
	const VersionLog left = gateway.log(after);
	EXPECT_FALSE(gateway.needsWriting(left, true, after + kSecond));
	EXPECT_TRUE(gateway.needsWriting(left, true, after + kSecond + VersionHistory::kRetention));
}

TEST(VersionHistory, versionThatHasLeftIsAddedToALogOfAGatewayThatNeverSawIt)
{
	Gateway behind(kLongAgo);
	behind.list({"v1"}, kStart);
	Gateway gateway(kLongAgo);
	gateway.list({"v1", "v2"}, kStart);
	const Micros left = gateway.listAlone({"v1"}, kStart + kSecond);
	const VersionLog restored = behind.log(left);
	EXPECT_TRUE(gateway.needsWriting(restored, false, left));
	EXPECT_FALSE(gateway.needsWriting(restored, false, left + VersionHistory::kRetention - kSecond)) << "soon over";
}

TEST(VersionHistory, versionThatComesBackSoonNeedNotWaitForTheLog)
{
	Gateway gateway(kLongAgo);
	gateway.list({"v1", "v2"}, kStart);
	const Micros left = gateway.listAlone({"v1"}, kStart + kSecond);
	const VersionLog log = gateway.log(left);
	Gateway soon(left);
	soon.adopt(log, left + kSecond);
	EXPECT_TRUE(soon.history.isLogged(kSecondVersion));
	Gateway late(left);
	late.adopt(log, left + VersionHistory::kRetention / 2 + kSecond);
	EXPECT_FALSE(late.history.isLogged(kSecondVersion));
	EXPECT_TRUE(late.history.isLogged(kFirst));
}

TEST(VersionCodec, logIsReadAsWritten)
{
	Gateway gateway(kStart);
	gateway.list({"v1", "v2"}, kStart);
	gateway.list({"v1"}, kStart + kSecond);
	const VersionLog log = gateway.log(kStart + kSecond);
	const std::optional<VersionLog> read = decodeVersionLog(encodeVersionLog(log));
	ASSERT_TRUE(read);
	EXPECT_EQ(read->era, log.era);
	EXPECT_EQ(read->completeSince, log.completeSince);
	ASSERT_EQ(read->entries.size(), 2u);
	for (std::size_t index = 0; index < 2; ++index)
	{
		EXPECT_EQ(read->entries[index].version, log.entries[index].version);
		EXPECT_EQ(read->entries[index].listed, log.entries[index].listed);
		EXPECT_EQ(read->entries[index].lastListed, log.entries[index].lastListed);
	}
}

TEST(VersionCodec, invalidDocumentsAreRefused)
{
	for (const char* text : {"", "{", "[]", "{\"era\":1}", "{\"era\":\"x\",\"complete_since\":0,\"versions\":[]}",
							 "{\"era\":1,\"complete_since\":0,\"versions\":[[1,2]]}"})
	{
		EXPECT_FALSE(decodeVersionLog(text)) << text;
	}
}

} // namespace beacongate::test
