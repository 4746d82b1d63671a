// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against streams that cannot be taken up once all gateways were lost while two software versions serve.

#include "streamversionfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 3;
/// Gateways know each other, and have recorded the streams that began there, after this time.
constexpr std::chrono::seconds kSettleTime{2};
} // namespace

class LostOriginsTest : public StreamVersionTest
{
protected:
	void SetUp() override
	{
		StreamVersionTest::SetUp();
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			gateways.push_back(nullptr);
			replace(number, true);
		}
		std::this_thread::sleep_for(kSettleTime);
	}

	/// Starts a gateway as a new process, in place of one that may run.
	void replace(unsigned _number, bool _firstStart = false)
	{
		GatewaySettings gatewaySettings = settings(_number);
		gatewaySettings.firstStart = _firstStart;
		gateways[_number - 1].reset();
		gateways[_number - 1] = std::make_unique<RunningGateway>(gatewaySettings);
		ASSERT_TRUE(await([&] { return isReady(gatewaySettings.readiness); }));
	}

	std::vector<BegunStream> beginStreamsAndWait(const std::string& _name)
	{
		std::vector<BegunStream> streams = beginStreams(_name);
		std::this_thread::sleep_for(kSettleTime);
		return streams;
	}

	void replaceAll()
	{
		for (auto& gateway : gateways)
		{
			gateway->requestStop();
		}
		for (auto& gateway : gateways)
		{
			gateway.reset();
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			replace(number);
		}
	}
};

TEST_F(LostOriginsTest, streamsGoOnAtTheirVersionsAfterAllGatewaysWereLost)
{
	const std::vector<BegunStream> streams = beginStreamsAndWait("a");
	replaceAll();
	EXPECT_EQ(takeUp(streams, 2), kBegunStreams);
}

TEST_F(LostOriginsTest, streamsGoOnAtTheirVersionsAfterGatewaysWereReplacedOneAfterAnother)
{
	const std::vector<BegunStream> streams = beginStreamsAndWait("b");
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		replace(number);
	}
	EXPECT_EQ(takeUp(streams, 2), kBegunStreams);
}

TEST_F(LostOriginsTest, streamsGoOnAfterAllGatewaysWereLostTwice)
{
	const std::vector<BegunStream> streams = beginStreamsAndWait("c");
	replaceAll();
	std::this_thread::sleep_for(kSettleTime);
	replaceAll();
	EXPECT_EQ(takeUp(streams, 1), kBegunStreams);
}

TEST_F(LostOriginsTest, streamsWhoseVersionHasLeftAreRefusedAfterAllGatewaysWereLost)
{
	const std::vector<BegunStream> streams = beginStreamsAndWait("d");
	for (unsigned number = 2; number <= kServers; number += 2)
	{
		store->remove("servers/" + workerId(number));
	}
	replaceAll();
	unsigned ofFirst = 0;
	for (const BegunStream& stream : streams)
	{
		ofFirst += stream.version == versionOf(1) ? 1 : 0;
	}
	EXPECT_EQ(takeUp(streams, 3), ofFirst);
}

TEST_F(LostOriginsTest, recordsOfWholeStreamsDoNotStayInTheStore)
{
	for (unsigned number = 0; number < kBegunStreams; ++number)
	{
		EXPECT_EQ(statusOf(sendStream("e" + std::to_string(number), 1)), 200u);
	}
	EXPECT_TRUE(await([this] { return store->keys(std::string(kOriginsPrefix)).empty(); }));
}

} // namespace beacongate::test
