// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against streams that begin at a software version before the store's log names it: gateways that start
/// after all others were lost let them go on at another version.

#include "streamversionfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 3;
/// A gateway's view of a backend server follows the store within this time.
constexpr std::chrono::seconds kSettleTime{2};
constexpr unsigned kNewServer = 2;
} // namespace

/// A fleet with one version, whose store then does not take the log of versions.
class UnloggedVersionTest : public StreamVersionTest
{
protected:
	void SetUp() override
	{
		StreamVersionTest::SetUp();
		registerAll("v1");
		startGateways(true);
		store->rejectWritesOf(kVersionsKey);
	}

	void registerAll(const std::string& _version)
	{
		for (unsigned number = 1; number <= kServers; ++number)
		{
			registerWorker(number, "ready", standin::kFirstStartTimeMs, _version);
		}
	}

	void startGateways(bool _firstStart)
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			GatewaySettings gatewaySettings = settings(number);
			gatewaySettings.firstStart = _firstStart;
			startGateway(gatewaySettings);
		}
		std::this_thread::sleep_for(kSettleTime);
	}

	void replaceGateways()
	{
		for (auto& gateway : gateways)
		{
			gateway->requestStop();
		}
		gateways.clear();
		store->rejectWritesOf("");
		startGateways(false);
	}
};

TEST_F(UnloggedVersionTest, streamsThatBeginBeforeTheLogIsWrittenDoNotGoOnAtAnotherVersion)
{
	registerWorker(kNewServer, "ready", standin::kFirstStartTimeMs, "v2");
	std::this_thread::sleep_for(kSettleTime);
	std::vector<BegunStream> streams = beginStreams("a");
	for (BegunStream& stream : streams)
	{
		stream.version = workers[kNewServer - 1]->runsOf(stream.id) > 0 ? "v2" : "v1";
	}
	store->remove("servers/" + workerId(kNewServer));
	replaceGateways();
	unsigned mixed = 0;
	unsigned served = 0;
	for (const BegunStream& stream : streams)
	{
		const bool goesOn = statusOf(sendStream(stream.id + "-again", 1, stream.lastEvent, stream.id)) == 200;
		served += goesOn ? 1 : 0;
		mixed += goesOn && stream.version == "v2" ? 1 : 0;
	}
	EXPECT_EQ(mixed, 0u);
	EXPECT_EQ(served, kBegunStreams) << "all began at the version that the log names";
}

TEST_F(UnloggedVersionTest, streamsBeginOnceTheLogIsWrittenWhereNoOtherVersionServes)
{
	registerAll("v2");
	std::this_thread::sleep_for(kSettleTime);
	EXPECT_EQ(statusOf(sendStream("b", 1)), 503u);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "c")), 200u) << "other requests are served";
	store->rejectWritesOf("");
	EXPECT_TRUE(await([this, number = 0]() mutable
					  { return statusOf(sendStream("d" + std::to_string(++number), 1)) == 200; }));
}

} // namespace beacongate::test
