// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against a stream that its caller takes up again going on at a backend server of another software version
/// than the one that began it.

#include "streamversionfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 3;
/// A return that cannot go on is refused within this time.
constexpr Micros kMaxRefusalTime = 300 * kMillisecond;
/// A gateway's view of a backend server follows the store within this time.
constexpr std::chrono::milliseconds kListDelay{700};
} // namespace

class ReturnedVersionTest : public StreamVersionTest
{
protected:
	void startGateways()
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			GatewaySettings gatewaySettings = settings(number);
			// Keys stay valid while the store is down.
			gatewaySettings.revocationSpan = 30 * kSecond;
			gatewaySettings.firstStart = true;
			startGateway(gatewaySettings);
		}
		// Gateways list each other within a few rounds.
		std::this_thread::sleep_for(std::chrono::seconds(1));
	}
};

TEST_F(ReturnedVersionTest, streamTakenUpAtItsFirstGatewayDoesNotGoOnAtAnotherVersion)
{
	startGateways();
	EXPECT_EQ(takeUp(beginStreams("a"), 1), kBegunStreams);
}

TEST_F(ReturnedVersionTest, streamTakenUpAtAnotherGatewayDoesNotGoOnAtAnotherVersion)
{
	startGateways();
	EXPECT_EQ(takeUp(beginStreams("b"), 2), kBegunStreams);
}

TEST_F(ReturnedVersionTest, streamTakenUpTwiceNamesTheAttemptThatBeganIt)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("c");
	setFaults(WorkerFault::CutsStream);
	takeUp(streams, 2);
	setFaults(WorkerFault::None);
	EXPECT_EQ(takeUp(streams, 3, "-third"), kBegunStreams);
}

TEST_F(ReturnedVersionTest, streamGoesOnAtItsVersionAfterItsFirstGatewayHasEnded)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("d");
	gateways[0].reset();
	EXPECT_GE(takeUp(streams, 2), kBegunStreams / 2);
}

TEST_F(ReturnedVersionTest, streamOfAnUnknownVersionIsRefusedAtOnceWhileTwoVersionsServe)
{
	startGateways();
	const Micros sent = monotonicNow();
	const std::string answer = sendStream("e", 2, "4", "nobody-began-it");
	EXPECT_LT(monotonicNow() - sent, kMaxRefusalTime);
	EXPECT_EQ(statusOf(answer), 503u) << answer;
	EXPECT_EQ(versionThatRan("e"), "none");
}

TEST_F(ReturnedVersionTest, streamWithoutItsFirstAttemptIsRefusedAtOnceWhileTwoVersionsServe)
{
	startGateways();
	EXPECT_EQ(statusOf(sendStream("f", 2, "4")), 503u);
	EXPECT_EQ(versionThatRan("f"), "none");
}

TEST_F(ReturnedVersionTest, streamIsRefusedAtOnceWhereItsVersionIsGone)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("g");
	for (unsigned number = 1; number <= kServers; number += 2)
	{
		registerWorker(number, "draining", standin::kFirstStartTimeMs, versionOf(number));
	}
	std::this_thread::sleep_for(kListDelay);
	const Micros started = monotonicNow();
	takeUp(streams, 2);
	EXPECT_LT(monotonicNow() - started, kBegunStreams * kMaxRefusalTime);
}

TEST_F(ReturnedVersionTest, streamOfAVersionThatHasLeftDoesNotGoOnAtTheOneThatIsLeft)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("h");
	for (unsigned number = 1; number <= kServers; number += 2)
	{
		store->remove("servers/" + workerId(number));
	}
	std::this_thread::sleep_for(kListDelay);
	startGateway(settings(4));
	takeUp(streams, 4);
	EXPECT_EQ(statusOf(sendStream("h-unknown", 4, "4", "nobody-began-it")), 503u);
}

TEST_F(ReturnedVersionTest, streamOfAnUnknownBeginningGoesOnWhereOneVersionServesAlone)
{
	for (unsigned number = 1; number <= kServers; ++number)
	{
		registerWorker(number, "ready", standin::kFirstStartTimeMs, "v1");
	}
	startGateways();
	for (unsigned number = 0; number < kBegunStreams; ++number)
	{
		const std::string answer = sendStream("i" + std::to_string(number), 2, "4", "nobody-began-it");
		EXPECT_EQ(statusOf(answer), 200u) << answer;
	}
}

TEST_F(ReturnedVersionTest, streamsGoOnWhileTheStoreIsDown)
{
	startGateways();
	store->setFault(StoreFault::Silent);
	std::this_thread::sleep_for(std::chrono::seconds(1));
	EXPECT_EQ(takeUp(beginStreams("j"), 3), kBegunStreams);
}

} // namespace beacongate::test
