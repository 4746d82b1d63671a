// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Streams that have neither a length nor chunks and end with their connection.

#include "gatewayfixture.h"

namespace beacongate::test
{
class UnframedStreamTest : public GatewayTest
{
};

TEST_F(UnframedStreamTest, wholeStreamIsPassedOnAndEnds)
{
	startGateway(settings(1));
	setFaults(WorkerFault::UnframedStream);
	const std::string answer = call("POST", "/stream/once/", "a");
	EXPECT_EQ(statusOf(answer), 200u) << answer;
	EXPECT_EQ(eventsOf(answer), standin::PlatformWorker::wholeStream("a"));
	EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
}

TEST_F(UnframedStreamTest, streamThatEndsInsideAnEventDoesNotLookComplete)
{
	startGateway(settings(1));
	setFaults(WorkerFault::CutsUnframed);
	const std::string answer = call("POST", "/stream/once/", "b");
	const std::string whole = standin::PlatformWorker::wholeStream("b");
	EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
	EXPECT_EQ(eventsOf(answer), whole.substr(0, whole.size() / 2)) << "whole events alone";
}

TEST_F(UnframedStreamTest, resumableStreamThatEndsInsideAnEventGoesOn)
{
	startGateway(settings(1));
	workers[0]->setFault(WorkerFault::CutsUnframed);
	workers[1]->setFault(WorkerFault::UnframedStream);
	bool continued = false;
	for (unsigned number = 0; number < 12 && !continued; ++number)
	{
		const std::string id = "c" + std::to_string(number);
		const std::string answer = call("POST", "/stream/again/", id);
		EXPECT_EQ(eventsOf(answer), standin::PlatformWorker::wholeStream(id));
		EXPECT_TRUE(answer.ends_with("0\r\n\r\n")) << answer;
		continued = workers[0]->runsOf(id) > 0 && workers[1]->runsOf(id) > 0;
	}
	EXPECT_TRUE(continued);
}

} // namespace beacongate::test
