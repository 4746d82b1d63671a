// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against brittle backend servers falling over in large fleets, whose gateways learn of them by answers.

#include "brittlefleet.h"

#include <gtest/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr Micros kReportInterval = 250 * kMillisecond;
constexpr Micros kGrace = 4 * kSecond;
constexpr Micros kPlainCallTime = 60 * kMillisecond;
/// Share of the requests that have to be served where the servers have three times the room that these need.
constexpr double kServedAtLowDemand = 0.9;
constexpr double kServedWhenFull = 0.5;

Fleet plainServers(unsigned _gateways, double _demand, double _rejections)
{
	return {_gateways, 4,   6,     kPlainCallTime, _demand, _rejections, kReportInterval,
			2,         1.0, false, true,           kGrace,  24};
}

Fleet engines(unsigned _gateways, double _demand, double _rejections)
{
	return {_gateways, 90, 16, kSecond, _demand, _rejections, kReportInterval, 2, 1.0, false, true, kGrace, 33};
}
} // namespace

TEST(BrittleLearning, serversThatTellFewGatewaysStayStanding)
{
	for (const unsigned gateways : {83u, 300u})
	{
		for (const double demand : {0.35, 1.0, 3.0})
		{
			for (const double rejections : {3.0, 10.0})
			{
				for (const Fleet& fleet :
					 {plainServers(gateways, demand, rejections), engines(gateways, demand, rejections)})
				{
					const Outcome outcome = Simulation(fleet).run();
					EXPECT_LE(outcome.falls, 2 + fleet.servers / 10) << describe(fleet);
					EXPECT_GE(outcome.servedShare, demand < 1.0 ? kServedAtLowDemand : kServedWhenFull)
						<< describe(fleet);
				}
			}
		}
	}
}

} // namespace beacongate::test
