// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against gateways that have just started letting a stream go on at another software version, because they
/// have not seen the version that began it.

#include "streamversionfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kStreams = 16;
constexpr unsigned kGateways = 3;
/// A gateway's view of a backend server follows the store, and the store's log of versions that view, within this
/// time.
constexpr std::chrono::seconds kSettleTime{2};
/// Event after which streams are taken up.
constexpr const char* kLastEvent = "4";
} // namespace

/// Gateways that are all replaced by new processes while streams run.
class RestartedVersionTest : public StreamVersionTest
{
protected:
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

	void stopGateways()
	{
		for (auto& gateway : gateways)
		{
			gateway->requestStop();
		}
		gateways.clear();
	}

	void registerAll(const std::string& _version)
	{
		for (unsigned number = 1; number <= kServers; ++number)
		{
			registerWorker(number, "ready", standin::kFirstStartTimeMs, _version);
		}
	}

	/// Removes the records of all backend servers of the version v2.
	void removeSecondVersion()
	{
		for (unsigned number = 2; number <= kServers; number += 2)
		{
			store->remove("servers/" + workerId(number));
		}
		std::this_thread::sleep_for(kSettleTime);
	}

	/// Takes streams up that no gateway knows.
	/// @returns the number of streams that went on.
	unsigned takeUp(const std::string& _name, unsigned _gateway)
	{
		unsigned served = 0;
		for (unsigned number = 0; number < kStreams; ++number)
		{
			const std::string id = _name + std::to_string(number);
			served += statusOf(sendStream(id + "-again", _gateway, kLastEvent, id)) == 200 ? 1 : 0;
		}
		return served;
	}
};

TEST_F(RestartedVersionTest, streamsOfAVersionThatHasLeftDoNotGoOnAtAnother)
{
	startGateways(true);
	removeSecondVersion();
	stopGateways();
	startGateways(false);
	EXPECT_EQ(takeUp("a", 1), 0u) << "each may have begun at v2";
	EXPECT_EQ(statusOf(sendStream("a", 1)), 200u) << "new streams are served";
}

TEST_F(RestartedVersionTest, streamsOfAServiceWithOneVersionGoOn)
{
	registerAll("v1");
	startGateways(true);
	stopGateways();
	startGateways(false);
	EXPECT_EQ(takeUp("b", 2), kStreams);
}

TEST_F(RestartedVersionTest, gatewaysThatAreReplacedOneAfterAnotherStillKnowWhatHasLeft)
{
	startGateways(true);
	removeSecondVersion();
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		gateways[number - 1].reset();
		gateways[number - 1] = std::make_unique<RunningGateway>(settings(number));
		ASSERT_TRUE(await([&] { return isReady(settings(number).readiness); }));
	}
	std::this_thread::sleep_for(kSettleTime);
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		EXPECT_EQ(takeUp("c" + std::to_string(number) + "-", number), 0u) << number;
	}
}

TEST_F(RestartedVersionTest, copyOfTheStoreThatLacksAVersionIsNotTrusted)
{
	registerAll("v1");
	startGateways(true);
	store->takeCopy();
	registerWorker(2, "ready", standin::kFirstStartTimeMs, "v2");
	std::this_thread::sleep_for(kSettleTime);
	stopGateways();
	store->restoreCopy();
	startGateways(false);
	EXPECT_EQ(takeUp("d", 1), 0u);
}

TEST_F(RestartedVersionTest, gatewayThatOutlivedTheStoresRestoreTellsThoseThatStart)
{
	registerAll("v1");
	startGateways(true);
	store->takeCopy();
	store->put("beacongate-test", "any change");
	store->restoreCopy();
	// The last duty holder waits out its lease before the duties are taken again.
	std::this_thread::sleep_for(std::chrono::seconds(6));
	gateways[0].reset();
	startGateway(settings(1));
	EXPECT_EQ(takeUp("e", 1), kStreams);
}

} // namespace beacongate::test
