// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of team quotas with a whole gateway.

#include "gatewayfixture.h"

namespace beacongate::test
{
namespace
{
constexpr double kBurst = 6.0;

std::string limitedConfig()
{
	standin::SiteConfig config;
	config.version = 1;
	config.host = "h.example";
	config.routes = {{"/safe/", "safe", 2}};
	config.teams = {{"limited", "limited-key", 0.001, kBurst, false}};
	return standin::formatConfig(config);
}
} // namespace

/// A backend server resets the connection after it ran a request, so that each request runs twice. If retries were
/// not charged, six requests would run twelve times with a limit of six.
TEST_F(GatewayTest, retriedRequestIsChargedTwice)
{
	store->put(platform::kConfigKey, limitedConfig());
	GatewaySettings gatewaySettings = settings(1);
	gatewaySettings.firstStart = true;
	startGateway(gatewaySettings);
	// Until the gateway may assume that it is the only one.
	std::this_thread::sleep_for(std::chrono::milliseconds(1200));
	setFaults(WorkerFault::Resets);
	unsigned refused = 0;
	unsigned runs = 0;
	for (int number = 0; number < 8; ++number)
	{
		const std::string id = "r" + std::to_string(number);
		refused += statusOf(call("GET", "/safe/", id, "limited-key")) == 429u ? 1 : 0;
		runs += runsOf(id);
	}
	EXPECT_GE(refused, 2u);
	EXPECT_LE(runs, static_cast<unsigned>(kBurst) + 1);
	EXPECT_GE(runs, static_cast<unsigned>(kBurst));
}

} // namespace beacongate::test
