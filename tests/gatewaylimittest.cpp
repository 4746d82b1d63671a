// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against backend servers getting more requests than the limit that they name allows.

#include "gatewayfixture.h"

#include <algorithm>
#include <thread>

namespace beacongate::test
{
namespace
{
constexpr unsigned kGateways = 4;
/// Time from the first naming of a limit until it is kept.
constexpr Micros kContactSpan = 3 * kSecond;
constexpr Micros kWindow = 4 * kSecond;
constexpr double kTolerance = 1.5; ///< Factor on what a limit allows in a window.
constexpr double kSlack = 5.0;     ///< Requests in a window on top.
constexpr Micros kMaxRefusalTime = 200 * kMillisecond;

void pause(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// Four gateways and two backend servers.
class GatewayLimitTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			startGateway(settings(number));
		}
		for (unsigned number = 1; number <= kGateways; ++number)
		{
			ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first", "key", number)) == 200; }));
		}
		pause(kSecond); // All gateways know of each other.
	}

	/// Sends requests to all gateways in turn for a while.
	void callFor(Micros _span, const std::string& _name, Micros _pause = 15 * kMillisecond)
	{
		const Micros end = monotonicNow() + _span;
		for (unsigned number = 0; monotonicNow() < end; ++number)
		{
			const unsigned gateway = 1 + number % kGateways;
			const std::string id = _name + std::to_string(number);
			served += statusOf(call("POST", "/unsafe/", id, "key", gateway)) == 200 ? 1 : 0;
			++sent;
			pause(_pause);
		}
	}

	/// @returns the largest number of requests that reached a server in a window after a moment.
	unsigned maxInWindow(unsigned _number, Micros _after)
	{
		const auto arrivals = workers[_number - 1]->arrivals();
		unsigned largest = 0;
		for (const standin::WorkerArrival& first : arrivals)
		{
			unsigned count = 0;
			for (const standin::WorkerArrival& other : arrivals)
			{
				count += first.at >= _after && other.at >= first.at && other.at < first.at + kWindow ? 1 : 0;
			}
			largest = std::max(largest, count);
		}
		return largest;
	}

	std::size_t arrivalsSince(unsigned _number, Micros _moment)
	{
		const auto arrivals = workers[_number - 1]->arrivals();
		return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
													  [_moment](const standin::WorkerArrival& _arrival)
													  { return _arrival.at >= _moment; }));
	}

	unsigned sent = 0;
	unsigned served = 0;
};

TEST_F(GatewayLimitTest, serverThatNamesALimitGetsNoMoreFromAllGatewaysTogether)
{
	const Micros named = monotonicNow();
	workers[0]->setLimit("2");
	callFor(9 * kSecond, "a");
	EXPECT_LE(maxInWindow(1, named + kContactSpan), kTolerance * 2.0 * 4.0 + kSlack);
	EXPECT_EQ(served, sent) << "the other server has room";
}

TEST_F(GatewayLimitTest, limitBelowOneRequestASecondIsKeptAndUsed)
{
	workers[0]->setLimit("0.5");
	workers[1]->setLimit("0.5");
	callFor(kContactSpan, "b");
	const Micros from = monotonicNow();
	callFor(8 * kSecond, "b2");
	for (const unsigned number : {1u, 2u})
	{
		EXPECT_LE(maxInWindow(number, from), kTolerance * 0.5 * 4.0 + kSlack);
		EXPECT_GE(arrivalsSince(number, from), 2u) << "half of the limit is used";
	}
}

TEST_F(GatewayLimitTest, requestWithoutRoomIsRefusedAtOnceWithRetryAfter)
{
	workers[0]->setLimit("0.2");
	workers[1]->setLimit("0.2");
	callFor(kContactSpan, "c");
	unsigned refused = 0;
	unsigned slow = 0;
	for (unsigned number = 0; number < 40; ++number)
	{
		const Micros begun = monotonicNow();
		const std::string answer = call("POST", "/unsafe/", "c2" + std::to_string(number));
		if (statusOf(answer) == 503)
		{
			++refused;
			slow += monotonicNow() - begun > kMaxRefusalTime ? 1 : 0;
			EXPECT_TRUE(has(answer, "Retry-After")) << answer;
		}
	}
	EXPECT_GE(refused, 36u);
	EXPECT_EQ(slow, 0u);
}

TEST_F(GatewayLimitTest, serverThatNamesNoLimitAnyMoreIsUsedFully)
{
	workers[0]->setLimit("1");
	workers[1]->setLimit("1");
	callFor(kContactSpan, "d");
	workers[0]->setLimit("");
	workers[1]->setLimit("");
	callFor(6 * kSecond, "d2");
	served = sent = 0;
	callFor(kSecond, "d3");
	EXPECT_EQ(served, sent);
}

TEST_F(GatewayLimitTest, allGatewaysLearnOfTheEndOfALimitBeforeTheirTurn)
{
	workers[0]->setLimit("0.2"); // A turn of a gateway every 20 s.
	workers[1]->setLimit("0.2");
	callFor(kContactSpan, "g");
	workers[0]->setLimit("");
	workers[1]->setLimit("");
	ASSERT_TRUE(await([&] { return statusOf(call("POST", "/unsafe/", "g2")) == 200; }));
	callFor(kContactSpan, "g3");
	served = sent = 0;
	callFor(kSecond, "g4");
	EXPECT_EQ(served, sent);
}

TEST_F(GatewayLimitTest, valueThatIsNoNumberLimitsNothing)
{
	workers[0]->setLimit("soon");
	workers[1]->setLimit("-1");
	callFor(kSecond, "e");
	served = sent = 0;
	callFor(kSecond, "e2");
	EXPECT_EQ(served, sent);
}

TEST_F(GatewayLimitTest, requestWaitsForABackoffThatEndsInTimeAlthoughAnotherServerHasALimit)
{
	workers[0]->setLimit("0.2");
	callFor(kContactSpan, "h");
	workers[1]->setRetryAfter("0.25");
	workers[1]->setFault(WorkerFault::Rejects);
	call("POST", "/unsafe/", "h2");
	workers[1]->setFault(WorkerFault::None);
	EXPECT_EQ(statusOf(call("POST", "/unsafe/", "h3")), 200u);
}

TEST_F(GatewayLimitTest, limitIsKeptWhileAGatewayIsStopped)
{
	workers[0]->setLimit("2");
	callFor(kContactSpan, "f");
	const Micros from = monotonicNow();
	gateways[3]->requestStop();
	callFor(6 * kSecond, "f2");
	EXPECT_LE(maxInWindow(1, from), kTolerance * 2.0 * 4.0 + kSlack);
}

} // namespace beacongate::test
