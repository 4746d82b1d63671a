// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a gateway continuing a stream at a backend server of another software version than the one that
/// began it.

#include "streamversionfixture.h"

namespace beacongate::test
{
using ContinuedVersionTest = StreamVersionTest;

TEST_F(ContinuedVersionTest, streamThatBreaksOffIsNotContinuedAtAnotherVersion)
{
	constexpr unsigned kStreams = 24;
	startGateway(settings(1));
	setFaults(WorkerFault::CutsStream);
	unsigned continued = 0;
	for (unsigned number = 0; number < kStreams; ++number)
	{
		const std::string id = "a" + std::to_string(number);
		sendStream(id, 1);
		EXPECT_NE(versionThatRan(id), "several") << id;
		continued += versionsThatRan(id).size() > 1 ? 1 : 0;
	}
	EXPECT_GE(continued, kStreams / 2) << "streams were not continued at all";
}

TEST_F(ContinuedVersionTest, streamIsContinuedWhileAnotherServerOfItsVersionServes)
{
	constexpr unsigned kStreams = 12;
	startGateway(settings(1));
	workers[0]->setFault(WorkerFault::CutsStream);
	workers[1]->setFault(WorkerFault::CutsStream);
	for (unsigned number = 0; number < kStreams; ++number)
	{
		const std::string id = "b" + std::to_string(number);
		EXPECT_TRUE(isWhole(sendStream(id, 1))) << id;
		EXPECT_NE(versionThatRan(id), "several") << id;
	}
}

TEST_F(ContinuedVersionTest, streamEndsAtOnceWhereNoOtherServerOfItsVersionIsLeft)
{
	constexpr Micros kMaxEndTime = kSecond;
	for (unsigned number = 3; number <= kServers; number += 2)
	{
		registerWorker(number, "draining", standin::kFirstStartTimeMs, versionOf(number));
	}
	startGateway(settings(1));
	workers[0]->setFault(WorkerFault::CutsStream);
	bool cut = false;
	for (unsigned number = 0; number < kServers * 4 && !cut; ++number)
	{
		const std::string id = "c" + std::to_string(number);
		const Micros sent = monotonicNow();
		const std::string answer = sendStream(id, 1);
		cut = workers[0]->runsOf(id) > 0;
		EXPECT_EQ(isWhole(answer), !cut) << id;
		EXPECT_LT(monotonicNow() - sent, kMaxEndTime) << id;
	}
	EXPECT_TRUE(cut);
}

} // namespace beacongate::test
