// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests of a fleet of gateways that is large enough for collectors.

#include "gatewayfixture.h"

#include "coordination/gossipplan.h"

#include <sstream>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = limits::kGossipPeers + 2;
}

/// Two data centres of nine gateways each.
class GatewayFleetTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			GatewaySettings gatewaySettings = settings(number);
			gatewaySettings.dataCentre = number % 2 == 0 ? "z1" : "z2";
			startGateway(gatewaySettings);
		}
	}

	void TearDown() override
	{
		// Each gateway takes a second to stop, so all are stopped at the same time.
		for (const auto& gateway : gateways)
		{
			if (gateway)
			{
				gateway->requestStop();
			}
		}
	}

	/// @returns the value of a gateway's metric; -1 if it is missing.
	double metric(unsigned _gateway, const std::string& _name)
	{
		Caller caller({host(_gateway), kControlPort});
		caller.sendBytes("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
		std::istringstream lines(caller.receiveUntil(""));
		for (std::string line; std::getline(lines, line);)
		{
			if (line.compare(0, _name.size() + 1, _name + ' ') == 0)
			{
				return std::strtod(line.c_str() + _name.size(), nullptr);
			}
		}
		return -1.0;
	}

	/// @returns how many gateways each one hears, for failure messages.
	std::string gatewaysHeardByEach()
	{
		std::string text;
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			text += gateways[number - 1] ? std::to_string(metric(number, "beacongate_gateways_heard")) + ' ' : "- ";
		}
		return text;
	}

	bool allHear(double _gateways)
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			if (gateways[number - 1] && metric(number, "beacongate_gateways_heard") < _gateways)
			{
				return false;
			}
		}
		return true;
	}
};

/// Guards against a second collector of a data centre that answers no reports: it could treat none of them as new.
TEST_F(GatewayFleetTest, eachGatewayHearsAllAlsoAfterTheFirstCollectorsStop)
{
	EXPECT_TRUE(await([&] { return allHear(kGateways); }, 6 * kSecond)) << gatewaysHeardByEach();
	// Both first collectors stop; members are ranked by host, as text.
	for (const std::size_t index : {0u, 9u})
	{
		gateways[index].reset();
	}
	EXPECT_TRUE(await([&] { return allHear(kGateways - 2); }, 6 * kSecond)) << gatewaysHeardByEach();
	for (unsigned number = 2; number <= 9; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/safe/", "after" + std::to_string(number), "key", number)), 200u);
	}
}

TEST_F(GatewayFleetTest, usageOfAllGatewaysIsReportedOnce)
{
	ASSERT_TRUE(await([&] { return allHear(kGateways); }, 6 * kSecond));
	ASSERT_TRUE(await([&] { return !store->get(kHolderKey).empty(); }));
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	constexpr unsigned kCalls = 2 * kGateways;
	for (unsigned number = 0; number < kCalls; ++number)
	{
		const unsigned gateway = 1 + number % kGateways;
		EXPECT_EQ(statusOf(call("GET", "/safe/", "u" + std::to_string(number), "key", gateway)), 200u);
	}
	const auto counted = [&]
	{
		std::map<std::uint64_t, std::uint64_t> windows;
		for (const standin::DutyCall& report : duties->calls())
		{
			const Json body = parseJson(report.body, Failure::Internal);
			windows[body.at("windowId").get<std::uint64_t>()] = body.at("counts").value("t", std::uint64_t{0});
		}
		std::uint64_t sum = 0;
		for (const auto& [window, count] : windows)
		{
			sum += count;
		}
		return sum;
	};
	EXPECT_TRUE(await([&] { return counted() == kCalls; }, 8 * kSecond)) << counted();
	std::this_thread::sleep_for(std::chrono::seconds(1));
	EXPECT_EQ(counted(), kCalls);
}

TEST_F(GatewayFleetTest, newConfigurationIsAppliedByAllGateways)
{
	ASSERT_TRUE(await([&] { return allHear(kGateways); }, 6 * kSecond));
	store->put(platform::kConfigKey, config(2, {"other"}));
	for (unsigned number = 1; number <= kGateways; ++number)
	{
		const std::string id = "n" + std::to_string(number);
		EXPECT_TRUE(
			await([&] { return statusOf(call("GET", "/safe/", id, "other", number)) == 200; }, 2 * kSecond));
	}
}

} // namespace beacongate::test
