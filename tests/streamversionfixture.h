// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Fixture with backend servers of two software versions, for tests of where streams go on.

#ifndef BEACONGATE_TESTS_STREAMVERSIONFIXTURE_H
#define BEACONGATE_TESTS_STREAMVERSIONFIXTURE_H

#include "gatewayfixture.h"

#include <string>
#include <vector>

namespace beacongate::test
{
/// A stream that broke off in the middle.
struct BegunStream
{
	std::string id; ///< Id of the attempt that began it.
	std::string version;
	std::string lastEvent;
};

/// Backend servers of the versions v1 and v2 by turns.
class StreamVersionTest : public GatewayTest
{
protected:
	static constexpr unsigned kServers = 6;
	static constexpr unsigned kBegunStreams = 16; ///< Streams that a test begins at a time.
	static constexpr const char* kResumablePath = "/stream/again/";

	void SetUp() override
	{
		addWorkers(kServers);
		for (unsigned number = 1; number <= kServers; ++number)
		{
			registerWorker(number, "ready", standin::kFirstStartTimeMs, versionOf(number));
		}
	}

	static std::string versionOf(unsigned _worker)
	{
		return _worker % 2 == 1 ? "v1" : "v2";
	}

	/// Sends a request for a stream and receives all that comes.
	/// @param[in] _lastEvent Event after which the stream goes on; empty for a new one.
	/// @param[in] _resumes Attempt that began it.
	std::string sendStream(const std::string& _id, unsigned _gateway, const std::string& _lastEvent = "",
						   const std::string& _resumes = "")
	{
		Caller caller({host(_gateway), kCallerPort});
		std::string headers = std::string(platform::kApiKey) + ": key\r\nConnection: close\r\n";
		headers += _lastEvent.empty() ? "" : platform::kLastEvent + (": " + _lastEvent) + "\r\n";
		headers += _resumes.empty() ? "" : platform::kResumes + (": " + _resumes) + "\r\n";
		caller.sendBytes(request("POST", kResumablePath, _id, headers, "body"));
		return caller.receiveUntil("");
	}

	/// @returns the versions at which a request ran, in the order of the backend servers.
	std::vector<std::string> versionsThatRan(const std::string& _id)
	{
		std::vector<std::string> versions;
		for (unsigned number = 1; number <= workers.size(); ++number)
		{
			if (workers[number - 1]->runsOf(_id) > 0)
			{
				versions.push_back(versionOf(number));
			}
		}
		return versions;
	}

	/// @returns the version at which a request ran, "none" if it ran nowhere, "several" if it ran at two.
	std::string versionThatRan(const std::string& _id)
	{
		const std::vector<std::string> versions = versionsThatRan(_id);
		for (const std::string& version : versions)
		{
			if (version != versions.front())
			{
				return "several";
			}
		}
		return versions.empty() ? "none" : versions.front();
	}

	/// @returns the id of the last event in what a caller received.
	static std::string lastEventOf(const std::string& _received)
	{
		const std::size_t at =
			_received.rfind("\nid: ") == std::string::npos ? std::string::npos : _received.rfind("\nid: ") + 5;
		return at == std::string::npos ? "" : _received.substr(at, _received.find('\n', at) - at);
	}

	/// @returns true if an answer's body ended as its framing says.
	static bool isWhole(const std::string& _answer)
	{
		return _answer.ends_with("0\r\n\r\n");
	}

	/// Begins streams that break off, and cannot be continued by their gateway.
	std::vector<BegunStream> beginStreams(const std::string& _name, unsigned _gateway = 1)
	{
		setFaults(WorkerFault::CutsStream);
		std::vector<BegunStream> streams;
		for (unsigned number = 0; number < kBegunStreams; ++number)
		{
			const std::string id = _name + std::to_string(number);
			const std::string answer = sendStream(id, _gateway);
			streams.push_back({id, versionThatRan(id), lastEventOf(answer)});
			EXPECT_FALSE(streams.back().lastEvent.empty()) << answer;
		}
		setFaults(WorkerFault::None);
		return streams;
	}

	/// Takes streams up and checks where they go on.
	/// @returns the number of streams that went on to their end.
	unsigned takeUp(const std::vector<BegunStream>& _streams, unsigned _gateway,
					const std::string& _name = "-again")
	{
		unsigned completed = 0;
		for (const BegunStream& stream : _streams)
		{
			const std::string id = stream.id + _name;
			const std::string answer = sendStream(id, _gateway, stream.lastEvent, stream.id);
			const std::string version = versionThatRan(id);
			EXPECT_TRUE(version == stream.version || version == "none")
				<< stream.id << " began at " << stream.version << " and went on at " << version;
			completed += statusOf(answer) == 200 && isWhole(answer) ? 1 : 0;
		}
		return completed;
	}
};

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_STREAMVERSIONFIXTURE_H
