// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tests what is remembered of the speed of backend servers.

#include "coordination/load/serverspeeds.h"
#include "coordination/directory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>
#include <set>

namespace beacongate::test
{
namespace
{
constexpr Micros kStart = 1000 * kSecond;
constexpr std::size_t kMany = 128;

const BackendKey kServer("server", 1);

ServerLoad load(double _slowdown)
{
	return {1, 0, 8, _slowdown};
}

BackendKey numbered(std::size_t _number)
{
	BackendKey key;
	key.value = static_cast<std::uint32_t>(_number);
	return key;
}

std::map<std::string, KnownBackend> directoryOf(const std::vector<BackendKey>& _keys)
{
	std::map<std::string, KnownBackend> known;
	for (const BackendKey key : _keys)
	{
		known["server-" + std::to_string(key.value)].key = key;
	}
	return known;
}

void sendAll(ServerSpeeds& _speeds, bool _relay)
{
	for (unsigned round = 0; round < ServerSpeeds::kReportRounds; ++round)
	{
		_speeds.takeReports(_relay, kMany);
	}
}

bool isBounded(double _slowdown)
{
	return _slowdown >= ServerSpeeds::kMinSlowdown && _slowdown <= ServerSpeeds::kMaxSlowdown;
}
} // namespace

TEST(ServerSpeeds, unknownServerHasTheUsualSpeed)
{
	ServerSpeeds speeds;
	EXPECT_EQ(speeds.lasting(kServer), 1.0);
	EXPECT_EQ(speeds.present(kServer, kStart), 1.0);
	EXPECT_FALSE(speeds.isKnown(kServer));
	EXPECT_EQ(speeds.meanSpeed({}), 1.0);
	EXPECT_TRUE(speeds.takeReports(true, kMany).empty());
}

TEST(ServerSpeeds, loadWithoutASlowdownSaysNothing)
{
	ServerSpeeds speeds;
	speeds.onLoad(kServer, {1, 0, 8, std::nullopt}, kStart);
	EXPECT_FALSE(speeds.isKnown(kServer));
}

TEST(ServerSpeeds, lastingIsTheSmallestOfTwoWindows)
{
	ServerSpeeds speeds;
	speeds.onLoad(kServer, load(1.5), kStart);
	EXPECT_EQ(speeds.lasting(kServer), 1.5);
	speeds.onLoad(kServer, load(0.6), kStart + kSecond);
	speeds.onLoad(kServer, load(1.5), kStart + 2 * kSecond);
	EXPECT_EQ(speeds.lasting(kServer), 0.6);
	speeds.onLoad(kServer, load(1.5), kStart + 6 * kSecond); // The second window.
	EXPECT_EQ(speeds.lasting(kServer), 0.6);
	speeds.onLoad(kServer, load(1.4), kStart + 12 * kSecond); // The third window; the first one is over.
	EXPECT_EQ(speeds.lasting(kServer), 1.4);
}

// A server that was not met for long would otherwise keep a speed that it has no more.
TEST(ServerSpeeds, windowsBeforeAGapDoNotCount)
{
	ServerSpeeds speeds;
	speeds.onLoad(kServer, load(0.6), kStart);
	speeds.onLoad(kServer, load(1.6), kStart + 2 * ServerSpeeds::kWindow + 1);
	EXPECT_EQ(speeds.lasting(kServer), 1.6);
}

TEST(ServerSpeeds, windowsBeginAtAnyTime)
{
	for (const Micros start : {Micros(0), kSecond, 7 * kSecond, 20 * kSecond})
	{
		ServerSpeeds speeds;
		speeds.onLoad(kServer, load(1.6), start);
		EXPECT_EQ(speeds.lasting(kServer), 1.6) << start;
		speeds.onLoad(kServer, load(0.6), start + kSecond);
		EXPECT_EQ(speeds.lasting(kServer), 0.6) << start;
	}
}

TEST(ServerSpeeds, slownessByNeighboursIsForgotten)
{
	ServerSpeeds speeds;
	speeds.onLoad(kServer, load(0.6), kStart);
	speeds.onLoad(kServer, load(1.5), kStart + kSecond);
	const Micros seen = kStart + kSecond;
	EXPECT_DOUBLE_EQ(speeds.present(kServer, seen), 1.5);
	EXPECT_NEAR(speeds.present(kServer, seen + ServerSpeeds::kPresentDecay), 0.6 + 0.9 * std::exp(-1.0), 1e-9);
	EXPECT_NEAR(speeds.present(kServer, seen + 2 * kSecond), 0.6, 0.01);
	EXPECT_DOUBLE_EQ(speeds.present(kServer, seen + kNever / 4), 0.6);
	EXPECT_DOUBLE_EQ(speeds.present(kServer, seen - kSecond), 1.5); // A time before the last answer.
}

TEST(ServerSpeeds, reportOfAnotherGatewayHasNoPresentSlowness)
{
	ServerSpeeds speeds;
	speeds.onReport({kServer, 1.6}, kStart);
	EXPECT_TRUE(speeds.isKnown(kServer));
	EXPECT_EQ(speeds.lasting(kServer), 1.6);
	EXPECT_EQ(speeds.present(kServer, kStart), 1.6);
	speeds.onLoad(kServer, load(2.5), kStart + kSecond);
	EXPECT_EQ(speeds.lasting(kServer), 1.6);
	EXPECT_DOUBLE_EQ(speeds.present(kServer, kStart + kSecond), 2.5);
	speeds.onReport({kServer, 3.0}, kStart + 2 * kSecond);
	EXPECT_EQ(speeds.lasting(kServer), 1.6);
}

// Speeds of a machine that is gone must not be used for the one that replaces it at its address.
TEST(ServerSpeeds, newIncarnationIsUnknown)
{
	ServerSpeeds speeds;
	const BackendKey next("server", 2);
	speeds.onLoad(kServer, load(1.6), kStart);
	EXPECT_FALSE(speeds.isKnown(next));
	EXPECT_EQ(speeds.lasting(next), 1.0);
	speeds.onLoad(next, load(0.6), kStart);
	EXPECT_EQ(speeds.lasting(next), 0.6);
	EXPECT_EQ(speeds.lasting(kServer), 1.6);
}

TEST(ServerSpeeds, extremeSlowdownsAreBounded)
{
	for (const double huge : {4.1, 100.0, 1e300, std::numeric_limits<double>::max()})
	{
		ServerSpeeds speeds;
		speeds.onLoad(kServer, load(huge), kStart);
		EXPECT_EQ(speeds.lasting(kServer), ServerSpeeds::kMaxSlowdown);
		EXPECT_EQ(speeds.present(kServer, kStart), ServerSpeeds::kMaxSlowdown);
		speeds.onReport({BackendKey("other"), huge}, kStart);
		EXPECT_EQ(speeds.lasting(BackendKey("other")), ServerSpeeds::kMaxSlowdown);
	}
	for (const double tiny : {0.24, 0.01, 1e-300})
	{
		ServerSpeeds speeds;
		speeds.onLoad(kServer, load(tiny), kStart);
		EXPECT_EQ(speeds.lasting(kServer), ServerSpeeds::kMinSlowdown);
		speeds.onReport({BackendKey("other"), tiny}, kStart);
		EXPECT_EQ(speeds.lasting(BackendKey("other")), ServerSpeeds::kMinSlowdown);
	}
}

// Taken as the smallest slowdown, such a value would draw four times the usual work to a server with a fault.
TEST(ServerSpeeds, slowdownsThatCannotBeAreIgnored)
{
	const double infinity = std::numeric_limits<double>::infinity();
	for (const double invalid :
		 {0.0, -0.0, -1.0, -1e300, std::numeric_limits<double>::quiet_NaN(), infinity, -infinity})
	{
		ServerSpeeds speeds;
		speeds.onLoad(kServer, load(invalid), kStart);
		speeds.onReport({kServer, invalid}, kStart);
		EXPECT_FALSE(speeds.isKnown(kServer)) << invalid;
		speeds.onLoad(kServer, load(1.6), kStart);
		speeds.onLoad(kServer, load(invalid), kStart + 1);
		speeds.onReport({kServer, invalid}, kStart + 1);
		EXPECT_EQ(speeds.lasting(kServer), 1.6) << invalid;
		EXPECT_EQ(speeds.present(kServer, kStart + 1), 1.6) << invalid;
	}
}

TEST(ServerSpeeds, meanSpeedIsThatOfTheWorkDone)
{
	ServerSpeeds speeds;
	speeds.onLoad(numbered(1), load(0.5), kStart);
	speeds.onLoad(numbered(2), load(2.0), kStart);
	EXPECT_DOUBLE_EQ(speeds.meanSpeed({numbered(1), numbered(2)}), 1.25);
	EXPECT_DOUBLE_EQ(speeds.meanSpeed({numbered(1), numbered(3)}), 1.5);
}

TEST(ServerSpeeds, newValueIsSentInFourRounds)
{
	ServerSpeeds speeds;
	speeds.onLoad(numbered(1), load(0.6), kStart);
	sendAll(speeds, false);
	speeds.onLoad(numbered(2), load(1.6), kStart);
	unsigned sent = 0;
	for (unsigned round = 0; round < ServerSpeeds::kReportRounds; ++round)
	{
		const auto reports = speeds.takeReports(false, kMany);
		ASSERT_EQ(reports.size(), 2u) << round; // The new one, and the other one in rotation.
		EXPECT_EQ(reports[0].key, numbered(2));
		EXPECT_EQ(reports[0].slowdown, 1.6);
		EXPECT_EQ(reports[1].key, numbered(1));
		++sent;
	}
	EXPECT_EQ(sent, 4u);
	EXPECT_EQ(speeds.takeReports(false, kMany).size(), 1u);
}

TEST(ServerSpeeds, onlyClearChangesAreSentAgain)
{
	ServerSpeeds speeds;
	for (const std::size_t number : {1u, 2u, 3u})
	{
		speeds.onLoad(numbered(number), load(1.0), kStart);
	}
	sendAll(speeds, false);
	speeds.onLoad(numbered(1), load(0.98), kStart + kSecond);
	EXPECT_EQ(speeds.takeReports(false, kMany).size(), 1u);
	speeds.onLoad(numbered(1), load(0.9), kStart + kSecond);
	const auto reports = speeds.takeReports(false, kMany);
	ASSERT_EQ(reports.size(), 2u);
	EXPECT_EQ(reports.front().key, numbered(1));
	EXPECT_EQ(reports.front().slowdown, 0.9);
}

// Relayed by every gateway, a change would cost a number of datagrams that grows with the square of the fleet.
TEST(ServerSpeeds, reportsOfOthersAreSentOnlyByRelays)
{
	ServerSpeeds speeds;
	speeds.onReport({numbered(1), 0.6}, kStart);
	EXPECT_TRUE(speeds.takeReports(false, kMany).empty());
	for (unsigned round = 0; round < ServerSpeeds::kReportRounds; ++round)
	{
		const auto reports = speeds.takeReports(true, kMany);
		ASSERT_EQ(reports.size(), 1u);
		EXPECT_EQ(reports.front().slowdown, 0.6);
	}
}

// A gateway that starts later learns all servers, as many rounds later as there are servers.
TEST(ServerSpeeds, unchangedValuesAreSentInRotation)
{
	ServerSpeeds speeds;
	std::set<BackendKey> all;
	for (std::size_t number = 0; number < 50; ++number) // The key of 0 is in it.
	{
		speeds.onLoad(numbered(number), load(0.6), kStart);
		all.insert(numbered(number));
	}
	sendAll(speeds, false);
	for (int turn = 0; turn < 2; ++turn)
	{
		std::set<BackendKey> sent;
		for (std::size_t round = 0; round < all.size(); ++round)
		{
			const auto reports = speeds.takeReports(false, kMany);
			ASSERT_EQ(reports.size(), 1u);
			sent.insert(reports.front().key);
		}
		EXPECT_EQ(sent, all);
	}
}

TEST(ServerSpeeds, reportsOfARoundAreBounded)
{
	ServerSpeeds speeds;
	std::map<BackendKey, unsigned> sent;
	for (std::size_t number = 0; number < 1000; ++number)
	{
		speeds.onLoad(numbered(number), load(0.6), kStart);
	}
	EXPECT_TRUE(speeds.takeReports(true, 0).empty());
	for (int round = 0; round < 40; ++round)
	{
		const auto reports = speeds.takeReports(true, kMany);
		EXPECT_LE(reports.size(), kMany);
		for (const SpeedReport& report : reports)
		{
			++sent[report.key];
		}
	}
	EXPECT_EQ(sent.size(), 1000u);
	for (const auto& [key, count] : sent)
	{
		EXPECT_GE(count, ServerSpeeds::kReportRounds) << key.value;
	}
}

TEST(ServerSpeeds, serversThatAreGoneAreRemoved)
{
	ServerSpeeds speeds;
	speeds.onLoad(numbered(1), load(0.6), kStart);
	speeds.onLoad(numbered(2), load(1.6), kStart);
	speeds.retain(directoryOf({numbered(2), numbered(3)}));
	EXPECT_FALSE(speeds.isKnown(numbered(1)));
	EXPECT_EQ(speeds.lasting(numbered(2)), 1.6);
	EXPECT_FALSE(speeds.isKnown(numbered(3)));
	EXPECT_EQ(speeds.size(), 1u);
	speeds.retain({});
	EXPECT_EQ(speeds.size(), 0u);
}

// Reports with random keys, as a faulty gateway may send them, must not fill the memory.
TEST(ServerSpeeds, numberOfServersIsBounded)
{
	ServerSpeeds speeds;
	for (std::size_t number = 0; number < ServerSpeeds::kMaxServers + 10; ++number)
	{
		speeds.onReport({numbered(number), 1.6}, kStart);
	}
	EXPECT_EQ(ServerSpeeds::kMaxServers, 10'000u);
	EXPECT_EQ(speeds.size(), ServerSpeeds::kMaxServers);
	const BackendKey later = numbered(ServerSpeeds::kMaxServers + 20);
	speeds.onLoad(later, load(0.6), kStart);
	EXPECT_FALSE(speeds.isKnown(later));
	speeds.onLoad(numbered(5), load(0.6), kStart); // Known servers are still updated.
	EXPECT_EQ(speeds.lasting(numbered(5)), 0.6);
	speeds.retain(directoryOf({numbered(5)}));
	speeds.onLoad(later, load(0.6), kStart);
	EXPECT_TRUE(speeds.isKnown(later));
}

// Gateways that repeat each other's reports, or collectors that relay them, would never forget a speed that the
// server has no more.
TEST(ServerSpeeds, formerSpeedIsForgottenByTheFleet)
{
	for (const bool relay : {false, true})
	{
		ServerSpeeds left;
		ServerSpeeds right;
		const auto run = [&](Micros _from, Micros _until, double _slowdown)
		{
			for (Micros now = _from; now < _until; now += 200 * kMillisecond)
			{
				left.onLoad(kServer, load(_slowdown), now);
				right.onLoad(kServer, load(_slowdown), now);
				for (const SpeedReport& report : left.takeReports(relay, kMany))
				{
					right.onReport(report, now, relay);
				}
				for (const SpeedReport& report : right.takeReports(relay, kMany))
				{
					left.onReport(report, now, relay);
				}
			}
		};
		run(kStart, kStart + 20 * kSecond, 0.6);
		EXPECT_EQ(left.lasting(kServer), 0.6);
		run(kStart + 20 * kSecond, kStart + 50 * kSecond, 1.6);
		EXPECT_EQ(left.lasting(kServer), 1.6) << relay;
		EXPECT_EQ(right.lasting(kServer), 1.6) << relay;
	}
}

// A gateway that starts later is told of servers whose speed has not changed since.
TEST(ServerSpeeds, relayTellsInTurnWhatOthersHaveSeen)
{
	ServerSpeeds collector;
	collector.onReport({kServer, 0.6}, kStart);
	collector.onReport({numbered(2), 1.6}, kStart, true);
	for (unsigned round = 0; round < ServerSpeeds::kReportRounds; ++round)
	{
		EXPECT_EQ(collector.takeReports(true, kMany).size(), 2u);
	}
	const auto reports = collector.takeReports(true, kMany);
	ASSERT_EQ(reports.size(), 1u);
	EXPECT_EQ(reports.front().key, kServer);
}

RC_GTEST_PROP(ServerSpeedsProperty, resultsAreBoundedWhateverComesIn, ())
{
	ServerSpeeds speeds;
	const auto kinds = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange<std::uint8_t>(0, 6));
	for (const std::uint8_t kind : kinds)
	{
		const BackendKey key = numbered(*rc::gen::inRange<std::size_t>(0, 5));
		const Micros now = *rc::gen::inRange<Micros>(-kSecond, 40 * kSecond);
		const double any = *rc::gen::oneOf(
			rc::gen::arbitrary<double>(),
			rc::gen::map(rc::gen::inRange(-100, 1000), [](int _v) { return _v / 100.0; }),
			rc::gen::element(0.0, -0.0, std::numeric_limits<double>::quiet_NaN(),
							 std::numeric_limits<double>::infinity(), -std::numeric_limits<double>::infinity(),
							 std::numeric_limits<double>::max(), std::numeric_limits<double>::denorm_min()));
		const auto most = *rc::gen::inRange<std::size_t>(0, 4);
		kind < 3 ? speeds.onLoad(key, load(any), now) : void();
		kind == 3 ? speeds.onReport({key, any}, now) : void();
		kind == 5 ? speeds.retain(directoryOf({numbered(1), key})) : void();
		const auto reports = kind == 4 ? speeds.takeReports(any > 0.0, most) : std::vector<SpeedReport>();
		RC_ASSERT(reports.size() <= most);
		for (const SpeedReport& report : reports)
		{
			RC_ASSERT(isBounded(report.slowdown));
		}
		RC_ASSERT(isBounded(speeds.lasting(key)));
		RC_ASSERT(isBounded(speeds.present(key, now)));
		RC_ASSERT(isBounded(speeds.present(key, now + kSecond)));
		RC_ASSERT(isBounded(speeds.meanSpeed({key, numbered(0), numbered(1)})));
	}
}

} // namespace beacongate::test
