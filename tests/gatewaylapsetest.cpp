// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against gateways staying unlisted for seconds after their leases ran out.

#include "gatewayfixture.h"

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 12;
/// Time from the end of the leases until all gateways are listed, well below the interval of their renewals.
constexpr Micros kListedSpan = 3 * kSecond;
} // namespace

class GatewayLapseTest : public GatewayTest
{
protected:
	void start()
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		ASSERT_TRUE(await([&] { return listed() == kGateways; }));
		std::this_thread::sleep_for(std::chrono::seconds(2)); // All gateways have read the list.
	}

	std::size_t listed()
	{
		return store->keys(std::string(kMemberPrefix)).size();
	}
};

TEST_F(GatewayLapseTest, gatewaysRegisterAtOnceAfterAllLeasesRanOut)
{
	start();
	store->endLeases();
	EXPECT_TRUE(await([&] { return listed() == kGateways; }, kListedSpan)) << listed() << " are listed";
}

TEST_F(GatewayLapseTest, gatewayWhoseEntryIsMissingRegistersOnce)
{
	start();
	const std::string key = memberKey("g3");
	store->remove(key);
	EXPECT_TRUE(await([&] { return listed() == kGateways; }, kListedSpan)) << listed() << " are listed";
	const std::uint64_t written = store->revisionOf(key);
	std::this_thread::sleep_for(std::chrono::microseconds(2 * kListedSpan));
	EXPECT_EQ(store->revisionOf(key), written) << "a gateway that is listed registered again";
}

} // namespace beacongate::test
