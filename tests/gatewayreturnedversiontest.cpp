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
constexpr unsigned kStreams = 16;
constexpr unsigned kGateways = 3;
/// A return that cannot go on is refused within this time.
constexpr Micros kMaxRefusalTime = 300 * kMillisecond;
/// A gateway's view of a backend server follows the store within this time.
constexpr std::chrono::milliseconds kListDelay{700};

struct BegunStream
{
	std::string id;
	std::string version;
	std::string lastEvent;
};
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

	/// Begins streams that break off at the first gateway, and cannot be continued by it.
	std::vector<BegunStream> beginStreams(const std::string& _name, unsigned _gateway = 1)
	{
		setFaults(WorkerFault::CutsStream);
		std::vector<BegunStream> streams;
		for (unsigned number = 0; number < kStreams; ++number)
		{
			const std::string id = _name + std::to_string(number);
			const std::string answer = sendStream(id, _gateway);
			streams.push_back({id, versionThatRan(id), lastEventOf(answer)});
			EXPECT_FALSE(streams.back().lastEvent.empty()) << answer;
		}
		setFaults(WorkerFault::None);
		return streams;
	}

	/// Takes streams up and checks where they go on.
	/// @returns the number of streams that went on to their end.
	unsigned takeUp(const std::vector<BegunStream>& _streams, unsigned _gateway,
					const std::string& _name = "-again")
	{
		unsigned completed = 0;
		for (const BegunStream& stream : _streams)
		{
			const std::string id = stream.id + _name;
			const std::string answer = sendStream(id, _gateway, stream.lastEvent, stream.id);
			const std::string version = versionThatRan(id);
			EXPECT_TRUE(version == stream.version || version == "none")
				<< stream.id << " began at " << stream.version << " and went on at " << version;
			completed += statusOf(answer) == 200 && isWhole(answer) ? 1 : 0;
		}
		return completed;
	}
};

TEST_F(ReturnedVersionTest, streamTakenUpAtItsFirstGatewayDoesNotGoOnAtAnotherVersion)
{
	startGateways();
	EXPECT_EQ(takeUp(beginStreams("a"), 1), kStreams);
}

TEST_F(ReturnedVersionTest, streamTakenUpAtAnotherGatewayDoesNotGoOnAtAnotherVersion)
{
	startGateways();
	EXPECT_EQ(takeUp(beginStreams("b"), 2), kStreams);
}

TEST_F(ReturnedVersionTest, streamTakenUpTwiceNamesTheAttemptThatBeganIt)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("c");
	setFaults(WorkerFault::CutsStream);
	takeUp(streams, 2);
	setFaults(WorkerFault::None);
	EXPECT_EQ(takeUp(streams, 3, "-third"), kStreams);
}

TEST_F(ReturnedVersionTest, streamGoesOnAtItsVersionAfterItsFirstGatewayHasEnded)
{
	startGateways();
	const std::vector<BegunStream> streams = beginStreams("d");
	gateways[0].reset();
	EXPECT_GE(takeUp(streams, 2), kStreams / 2);
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
	EXPECT_LT(monotonicNow() - started, kStreams * kMaxRefusalTime);
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
	for (unsigned number = 0; number < kStreams; ++number)
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
	EXPECT_EQ(takeUp(beginStreams("j"), 3), kStreams);
}

} // namespace beacongate::test
