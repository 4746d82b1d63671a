// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Guards against an answer that looks complete although the gateway that provides its tunnel was lost.

#include "partitionfixture.h"

#include "protocol/tunnelcodec.h"
#include "protocol/tunnelframes.h"
#include "soak/gatewayprocess.h"

#include <fstream>

namespace beacongate::test
{
namespace
{
constexpr unsigned kFirstProcess = 3;
constexpr unsigned kProcesses = 2;
constexpr unsigned kStreams = 12;
/// Time after which some of a stream's events have arrived and some have not.
constexpr Micros kMidStream = 60 * kMillisecond;

std::string whole(const std::string& _id)
{
	return standin::PlatformWorker::wholeStream(_id);
}

bool looksComplete(const std::string& _answer)
{
	return _answer.ends_with("\r\n0\r\n\r\n");
}
} // namespace

/// A gateway without a path to the backend servers, and three that provide tunnels, two of them as processes.
class GatewayLostRelayTest : public GatewayPartitionTest
{
protected:
	struct Stream
	{
		std::string id;
		std::unique_ptr<Caller> caller;
	};

	void SetUp() override
	{
		GatewayPartitionTest::SetUp();
		for (unsigned number = kFirstProcess; number < kFirstProcess + kProcesses; ++number)
		{
			startProcess(number);
		}
		std::this_thread::sleep_for(std::chrono::seconds(1)); // The gateways hear of each other.
		cut();
		ASSERT_EQ(servedOf("POST", "/unsafe/", "first"), kRequests);
	}

	std::vector<Stream> begin(const std::string& _path, const std::string& _name)
	{
		std::vector<Stream> streams;
		for (unsigned number = 0; number < kStreams; ++number)
		{
			streams.push_back({_name + std::to_string(number),
							   std::make_unique<Caller>(Address{host(kPartitioned), kCallerPort})});
			streams.back().caller->sendBytes(
				request("GET", _path, streams.back().id,
						std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n"));
		}
		std::this_thread::sleep_for(std::chrono::microseconds(kMidStream));
		return streams;
	}

	void startProcess(unsigned _number)
	{
		const GatewaySettings values = settings(_number);
		standin::SiteGateway site;
		site.name = values.name;
		site.dataCentre = "z" + std::to_string(_number);
		site.host = values.callers.host;
		site.callerPort = kCallerPort;
		site.readyPort = kReadyPort;
		site.controlPort = kControlPort;
		site.gossipPort = kGossipPort;
		site.seedHosts = {host(1), host(2)};
		site.store = values.store;
		site.duties = *values.dutyApi;
		const std::string path = testing::TempDir() + "lostrelay-" + site.host;
		std::ofstream(path) << standin::formatSettings(site);
		processes.push_back(std::make_unique<soak::GatewayProcess>(
			std::string(BEACONGATE_BIN) + "/beacongate-gateway", path, path + ".log"));
		processes.back()->start();
		ASSERT_TRUE(await([&] { return isReady(values.readiness); })) << site.name << " did not become ready";
	}

	/// Kills the process that provides most of the open tunnels.
	void killRelay()
	{
		const unsigned ofFirst = openTunnels(kFirstProcess);
		const unsigned ofSecond = openTunnels(kFirstProcess + 1);
		ASSERT_GT(ofFirst + ofSecond, 0u);
		processes[ofFirst >= ofSecond ? 0 : 1]->kill();
	}

	unsigned openTunnels(unsigned _gateway)
	{
		return static_cast<unsigned>(std::atoi(metric("beacongate_tunnels_open", _gateway).c_str()));
	}

	/// Streams that end as complete answers, whole ones and others.
	struct Outcome
	{
		unsigned complete = 0;
		unsigned truncated = 0;
	};

	Outcome finish(std::vector<Stream>& _streams)
	{
		Outcome outcome;
		for (Stream& stream : _streams)
		{
			const std::string answer = stream.caller->receiveUntil("");
			outcome.complete += looksComplete(answer) ? 1 : 0;
			outcome.truncated += looksComplete(answer) && eventsOf(answer) != whole(stream.id) ? 1 : 0;
		}
		return outcome;
	}

	std::vector<std::unique_ptr<soak::GatewayProcess>> processes;
};

TEST_F(GatewayLostRelayTest, unframedStreamOfALostRelayDoesNotLookComplete)
{
	setFaults(WorkerFault::UnframedStream);
	std::vector<Stream> streams = begin("/stream/once/", "a");
	killRelay();
	const Outcome outcome = finish(streams);
	EXPECT_EQ(outcome.truncated, 0u);
	EXPECT_LT(outcome.complete, kStreams) << "no stream took the lost relay";
}

TEST_F(GatewayLostRelayTest, unframedStreamOfALostRelayGoesOnThroughAnother)
{
	setFaults(WorkerFault::UnframedStream);
	std::vector<Stream> streams = begin("/stream/again/", "b");
	killRelay();
	const Outcome outcome = finish(streams);
	EXPECT_EQ(outcome.truncated, 0u);
	EXPECT_EQ(outcome.complete, kStreams);
}

TEST_F(GatewayLostRelayTest, unframedStreamThroughARelayEndsWhole)
{
	setFaults(WorkerFault::UnframedStream);
	std::vector<Stream> streams = begin("/stream/once/", "c");
	const Outcome outcome = finish(streams);
	EXPECT_EQ(outcome.truncated, 0u);
	EXPECT_EQ(outcome.complete, kStreams);
}

TEST_F(GatewayLostRelayTest, requestsAreServedAfterTheLossOfARelay)
{
	std::vector<Stream> streams = begin("/stream/once/", "d");
	killRelay();
	finish(streams);
	EXPECT_EQ(servedOf("POST", "/unsafe/", "d2"), kRequests);
	EXPECT_EQ(metric("beacongate_requests_suspected", kPartitioned), "0");
}

TEST_F(GatewayLostRelayTest, answerThatEndsWithItsConnectionIsResetIfItsGatewayIsLost)
{
	Caller caller({host(kFirstProcess), kCallerPort});
	std::string bytes = request("GET", "/stream/once/", "f", std::string(platform::kApiKey) + ": key\r\n");
	bytes.replace(bytes.find("HTTP/1.1"), 8, "HTTP/1.0");
	caller.sendBytes(bytes);
	caller.receiveUntil("id: 2\n");
	processes[0]->kill();
	caller.receiveUntil("");
	EXPECT_TRUE(caller.wasReset);
	Caller whole({host(kFirstProcess + 1), kCallerPort});
	whole.sendBytes(bytes);
	EXPECT_TRUE(whole.receiveUntil("").ends_with(standin::PlatformWorker::wholeStream("f")));
	EXPECT_TRUE(whole.ended && !whole.wasReset);
}

TEST_F(GatewayLostRelayTest, gatewayOfAnEarlierBuildGetsATunnelWithoutFrames)
{
	const auto knownServer = [this](const std::string& _fields)
	{
		Caller caller({host(kOther), kControlPort});
		const std::string body = "{\"backend\":\"" + workerId(1) +
								 "\",\"born\":" + std::to_string(standin::kFirstStartTimeMs) +
								 ",\"connect_ms\":500" + _fields + "}";
		caller.sendBytes("POST /tunnel HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nContent-Length: " +
						 std::to_string(body.size()) + "\r\n\r\n" + body);
		std::string answer = caller.receiveUntil("\r\n\r\n");
		caller.sendBytes(
			request("GET", "/safe/", "e", std::string(platform::kTarget) + ": " + workerId(1) + "\r\n"));
		return answer + caller.receiveUntil("ok e");
	};
	const std::string former = knownServer("");
	EXPECT_NE(former.find("\r\n\r\nHTTP/1.1 200"), std::string::npos) << former;
	const std::string present = knownServer(",\"frames\":true");
	EXPECT_EQ(present.find("\r\n\r\nHTTP/1.1 200"), std::string::npos) << present;
	EXPECT_NE(present.find("ok e"), std::string::npos) << present;
}

TEST(TunnelFrames, bytesAndEndAreReadAsWritten)
{
	const std::string frames = formatTunnelFrame("first") + formatTunnelFrame(std::string(70000, 'x')) +
							   formatTunnelEnd(TunnelEnd::Closed);
	for (const std::size_t step : {std::size_t(1), std::size_t(3), frames.size()})
	{
		TunnelFrameReader reader;
		std::string bytes;
		for (std::size_t at = 0; at < frames.size(); at += step)
		{
			EXPECT_EQ(reader.end(), TunnelEnd::Open);
			bytes += reader.consume(std::string_view(frames).substr(at, step));
		}
		EXPECT_EQ(bytes, "first" + std::string(70000, 'x'));
		EXPECT_EQ(reader.end(), TunnelEnd::Closed);
	}
}

TEST(TunnelFrames, brokenEndAndInvalidFramesAreToldApart)
{
	TunnelFrameReader broken;
	broken.consume(formatTunnelEnd(TunnelEnd::Broken));
	EXPECT_EQ(broken.end(), TunnelEnd::Broken);
	TunnelFrameReader invalid;
	EXPECT_EQ(invalid.consume("HTTP/1.1 200 OK\r\n"), "");
	EXPECT_EQ(invalid.end(), TunnelEnd::Invalid);
}

} // namespace beacongate::test
