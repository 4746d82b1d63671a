// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against requests to a backend server that asked for a backoff.
///
/// An engine that is full answers 503 with `Retry-After: 3`. If the gateway ignores the header and counts the
/// answer as one failure of several, the engine gets more requests before that time is over (three more were seen)
/// and rejects them. A stream that started earlier and ends well then counts in the engine's favour, and a fallback
/// ignores ejections when most servers look unhealthy. The same holds for a server that states in its answers that
/// it is leaving. The log shows such requests with backoff_left_ms above 0.

#include "gatewayfixture.h"

#include <thread>

namespace beacongate::test
{
namespace
{
/// Time until requests that were in flight at a rejection have arrived.
constexpr Micros kInFlightSpan = 500 * kMillisecond;
constexpr unsigned kMaxRequestsInBackoff = 2; ///< Requests that may reach a server during its backoff.
constexpr Micros kDrainBound = 2 * kSecond;
/// A refusal takes no longer; the target latency of a request is 400 ms.
constexpr Micros kMaxRefusalTime = 200 * kMillisecond;

void pause(Micros _span)
{
	std::this_thread::sleep_for(std::chrono::microseconds(_span));
}
} // namespace

/// One gateway and two backend servers.
class GatewayBackoffTest : public GatewayTest
{
protected:
	void SetUp() override
	{
		startGateway(settings(1));
		ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "first")) == 200; }));
	}

	/// Makes a backend server reject requests and ask for a backoff.
	void rejectRequests(unsigned _number, const std::string& _retryAfter, WorkerFault _fault = WorkerFault::Rejects)
	{
		workers[_number - 1]->setRetryAfter(_retryAfter);
		workers[_number - 1]->setFault(_fault);
	}

	/// Sends requests for a while, every second one on a route that allows a single attempt.
	void callFor(Micros _span, const std::string& _name)
	{
		const Micros end = monotonicNow() + _span;
		for (unsigned number = 0; monotonicNow() < end; ++number)
		{
			const std::string id = _name + std::to_string(number);
			number % 2 == 0 ? call("GET", "/safe/", id) : call("POST", "/unsafe/", id);
			pause(20 * kMillisecond);
		}
	}

	/// @returns the largest number of requests that reached a server during one backoff, not counting the first
	/// half second.
	unsigned maxRequestsInBackoff(unsigned _number)
	{
		const auto arrivals = workers[_number - 1]->arrivals();
		unsigned largest = 0;
		for (const standin::WorkerArrival& rejection : arrivals)
		{
			unsigned count = 0;
			for (const standin::WorkerArrival& other : arrivals)
			{
				const bool duringBackoff =
					other.at > rejection.at + kInFlightSpan && other.at < rejection.at + rejection.requestedBackoff;
				count += duringBackoff ? 1 : 0;
			}
			largest = std::max(largest, count);
		}
		return largest;
	}

	static double retryAfterSecondsOf(const std::string& _answer)
	{
		const std::string name = "Retry-After: ";
		const std::size_t at = _answer.find(name);
		return at == std::string::npos ? -1.0 : std::atof(_answer.c_str() + at + name.size());
	}

	std::size_t arrivalCount(unsigned _number)
	{
		return workers[_number - 1]->arrivals().size();
	}
};

TEST_F(GatewayBackoffTest, serverInBackoffGetsNoRequests)
{
	// An engine that is full for some requests runs others, so it never fails three times in a row.
	rejectRequests(1, "3", WorkerFault::RejectsSome);
	callFor(3 * kSecond, "a");
	EXPECT_LE(maxRequestsInBackoff(1), kMaxRequestsInBackoff);
}

TEST_F(GatewayBackoffTest, noFallbackSendsToServersThatAreAllInBackoff)
{
	rejectRequests(1, "3");
	rejectRequests(2, "3");
	callFor(3 * kSecond, "b");
	EXPECT_LE(maxRequestsInBackoff(1), kMaxRequestsInBackoff);
	EXPECT_LE(maxRequestsInBackoff(2), kMaxRequestsInBackoff);
}

TEST_F(GatewayBackoffTest, otherServersServeDuringABackoff)
{
	rejectRequests(1, "1.5");
	ASSERT_TRUE(await(
		[&]
		{
			call("POST", "/unsafe/", "c");
			return maxRequestsInBackoff(1) == 0 && !workers[0]->arrivals().empty() &&
				   workers[0]->arrivals().back().requestedBackoff > 0;
		}));
	for (unsigned number = 0; number < 20; ++number)
	{
		EXPECT_EQ(statusOf(call("POST", "/unsafe/", "c" + std::to_string(number))), 200u);
	}
}

TEST_F(GatewayBackoffTest, requestThatCannotBeServedInTimeIsRefusedWithRetryAfter)
{
	rejectRequests(1, "3");
	rejectRequests(2, "3");
	call("GET", "/safe/", "d"); // Both servers have asked for a backoff now.
	const Micros sent = monotonicNow();
	const std::string answer = call("GET", "/safe/", "d2");
	EXPECT_LT(monotonicNow() - sent, kMaxRefusalTime);
	EXPECT_EQ(statusOf(answer), 503u);
	// At the earliest when there is room, and at most a quarter of the backoff later.
	const double retryAfterSeconds = retryAfterSecondsOf(answer);
	EXPECT_GE(retryAfterSeconds, 2.5) << answer;
	EXPECT_LE(retryAfterSeconds, 3.75) << answer;
}

TEST_F(GatewayBackoffTest, requestWaitsForABackoffThatEndsInTime)
{
	rejectRequests(1, "0.25");
	rejectRequests(2, "0.25");
	call("GET", "/safe/", "e");
	setFaults(WorkerFault::None);
	EXPECT_EQ(statusOf(call("GET", "/safe/", "e2")), 200u);
}

TEST_F(GatewayBackoffTest, restartedServerHasNoBackoff)
{
	rejectRequests(1, "60");
	rejectRequests(2, "60");
	call("GET", "/safe/", "f");
	EXPECT_EQ(statusOf(call("GET", "/safe/", "f2")), 503u);
	setFaults(WorkerFault::None);
	registerWorker(1, "ready", standin::kFirstStartTimeMs + 1);
	EXPECT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "f3")) == 200; }));
}

TEST_F(GatewayBackoffTest, serverThatAnswersThatItIsLeavingGetsNoRequestsDuringAStoreOutage)
{
	store->setFault(StoreFault::Silent);
	workers[0]->setLeaving(true);
	callFor(kDrainBound, "g");
	const std::size_t before = arrivalCount(1);
	// Keys are refused once the store has been unreachable for long; routes that need none still work.
	for (unsigned number = 0; number < 20; ++number)
	{
		EXPECT_EQ(statusOf(call("GET", "/open/", "g2" + std::to_string(number), "")), 200u);
		pause(20 * kMillisecond);
	}
	EXPECT_EQ(arrivalCount(1), before);
}

TEST_F(GatewayBackoffTest, otherGatewaysLearnThatAServerIsLeaving)
{
	startGateway(settings(2));
	ASSERT_TRUE(await([&] { return statusOf(call("GET", "/safe/", "h", "key", 2)) == 200; }));
	store->setFault(StoreFault::Silent);
	workers[0]->setLeaving(true);
	callFor(kSecond, "h");
	const std::size_t before = arrivalCount(1);
	for (unsigned number = 0; number < 20; ++number)
	{
		call("GET", "/open/", "h2" + std::to_string(number), "", 2);
	}
	EXPECT_EQ(arrivalCount(1), before);
}

} // namespace beacongate::test
