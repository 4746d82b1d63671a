// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Behaviour that needs real processes: kills, frozen processes, broken connections and planned stops.

#include "processes.h"

#include "protocol/openai.h"
#include "protocol/peercodec.h"
#include "standin/engine.h"

#include <gtest/gtest.h>

#include <future>

namespace beacongate::test
{
namespace
{
/// Checks that a streamed answer is complete and equals the answer of any engine.
void expectCompleteStream(const Reply& _reply, std::uint64_t _tokens)
{
	ASSERT_TRUE(_reply.answered);
	ASSERT_EQ(200u, _reply.answer.status) << _reply.answer.body;
	SseReader reader;
	std::uint64_t nextOffset = 0;
	bool ended = false;
	for (const SseEvent& event : reader.feed(_reply.answer.body))
	{
		const ModelChunk chunk = readChunk(event);
		ended = ended || chunk.end;
		if (chunk.token.has_value())
		{
			EXPECT_EQ(nextOffset, chunk.offset.value_or(~0ull));
			EXPECT_EQ(standin::engineToken("tell me", nextOffset), *chunk.token);
			++nextOffset;
		}
	}
	EXPECT_TRUE(ended);
	EXPECT_EQ(_tokens, nextOffset);
}

/// @returns a key whose home is the named entry.
std::string keyWithHome(Processes& _processes, const std::string& _entry)
{
	const Roster roster = readRoster(_processes.state("ce1")["roster"]);
	for (int ii = 0;; ++ii)
	{
		std::string key = "k" + std::to_string(ii);
		if (homeOf("a/log/" + key, roster)->entry.id == _entry)
		{
			return key;
		}
	}
}

class ProcessesTest : public testing::Test
{
protected:
	void SetUp() override
	{
		processes.startAll();
		ASSERT_TRUE(processes.ready);
	}

	/// Waits until an entry has this number of requests in flight.
	bool awaitActive(const std::string& _entry, std::size_t _count)
	{
		return await([&] { return _count == processes.state(_entry)["requests"].size(); });
	}

	/// Runs a call on another thread.
	template <typename Call> std::future<Reply> inBackground(Call _call)
	{
		return std::async(std::launch::async, std::move(_call));
	}

	Processes processes;
};
} // namespace

TEST_F(ProcessesTest, eitherEntryServesStreamsAndCalls)
{
	expectCompleteStream(processes.stream("e1", 20), 20);
	expectCompleteStream(processes.stream("e2", 20), 20);
	for (const char* entry : {"e1", "e2"})
	{
		const Reply reply = processes.call(entry, "twice");
		EXPECT_EQ("done", reply.outcome()) << reply.answer.body;
	}
	EXPECT_EQ(1, processes.executions("twice"));
}

TEST_F(ProcessesTest, aStreamSurvivesAKilledEngineWithoutLosingTokens)
{
	auto stream = inBackground([&] { return processes.stream("e1", 200); });
	ASSERT_TRUE(await(
		[&]
		{
			const Json rows = processes.state("ie1")["requests"];
			return 1 == rows.size() && 20 < rows[0]["tokens"].get<int>();
		}));
	processes.signal(processes.state("ie1")["requests"][0]["backend"].get<std::string>(), SIGKILL);
	expectCompleteStream(stream.get(), 200);
	const Json stats = processes.state("ie1")["stats"];
	EXPECT_EQ(1, stats["retries"]);
	EXPECT_LT(20, stats["savedTokens"].get<int>());
}

TEST_F(ProcessesTest, aStoppedEntryCompletesItsRequests)
{
	auto stream = inBackground([&] { return processes.stream("e1", 300); });
	auto call = inBackground([&] { return processes.call("e1", "stopping"); });
	ASSERT_TRUE(awaitActive("ie1", 1));
	processes.signal("e1", SIGTERM);
	EXPECT_EQ("done", call.get().outcome());
	expectCompleteStream(stream.get(), 300);
	EXPECT_EQ(0, processes.waitFor("e1"));
	// The other entry has taken over its claims and the answer.
	ASSERT_TRUE(await([&] { return processes.sealed("ie2", 1); }));
	EXPECT_EQ("done", processes.call("e2", "stopping").outcome());
	EXPECT_EQ(1, processes.executions("stopping"));
}

TEST_F(ProcessesTest, aStoppedControlInterruptsNoRequest)
{
	auto stream = inBackground([&] { return processes.stream("e1", 200); });
	ASSERT_TRUE(awaitActive("ie1", 1));
	processes.signal("ce1", SIGTERM);
	EXPECT_EQ(0, processes.waitFor("ce1"));
	expectCompleteStream(stream.get(), 200);
	expectCompleteStream(processes.stream("e1", 10), 10);
}

TEST_F(ProcessesTest, aKeyWithAFrozenHomeIsAnsweredNotRunAndDoesNotRun)
{
	const std::string key = keyWithHome(processes, "e1");
	processes.freeze("e1");
	const Reply refused = processes.call("e2", key);
	EXPECT_EQ("not-run", refused.outcome()) << refused.answer.body;
	EXPECT_FALSE(findHeader(refused.answer.headers, "Retry-After").empty());
	EXPECT_EQ(0, processes.executions(key));
	processes.signal("e1", SIGCONT);
	ASSERT_TRUE(await([&] { return "done" == processes.call("e2", key).outcome(); }));
	EXPECT_EQ(1, processes.executions(key));
}

TEST_F(ProcessesTest, aKeyIsNotExecutedAgainAfterItsEntryWasKilled)
{
	request(processes.addressOf("log"), "POST", "/standin", R"({"delayMs": 3000})");
	const std::string key = keyWithHome(processes, "e2");
	auto call = inBackground([&] { return processes.call("e1", key); });
	ASSERT_TRUE(await([&] { return 1 == processes.executions(key); }));
	processes.signal("e1", SIGKILL);
	EXPECT_FALSE(call.get().answered);
	const Reply again = processes.call("e2", key);
	EXPECT_EQ("unknown", again.outcome()) << again.answer.body;
	processes.waitFor("e1");
	processes.startEntry(1);
	ASSERT_TRUE(await([&] { return processes.sealed("ie1", 2) && processes.sealed("ie2", 2); }));
	EXPECT_EQ("unknown", processes.call("e1", key).outcome());
	EXPECT_EQ("unknown", processes.call("e2", key).outcome());
	EXPECT_EQ(1, processes.executions(key));
	request(processes.addressOf("log"), "POST", "/standin", R"({"delayMs": 0})");
}

TEST_F(ProcessesTest, aCallWithALostAnswerIsAndStaysUnknown)
{
	request(processes.addressOf("log"), "POST", "/standin", R"({"cut": true})");
	EXPECT_EQ("unknown", processes.call("e1", "cut").outcome());
	request(processes.addressOf("log"), "POST", "/standin", R"({"cut": false})");
	EXPECT_EQ("unknown", processes.call("e2", "cut").outcome());
	EXPECT_EQ(1, processes.executions("cut"));
}

TEST_F(ProcessesTest, servesAndHandlesAReclaimWithoutTheStore)
{
	request(processes.addressOf("store"), "POST", "/standin", R"({"mode": "down"})");
	ASSERT_TRUE(await([&] { return !processes.state("ce1")["storeReachable"].get<bool>(); }));
	expectCompleteStream(processes.stream("e1", 10), 10);
	EXPECT_EQ("done", processes.call("e1", "outage").outcome());
	EXPECT_EQ("done", processes.call("e2", "outage").outcome());
	EXPECT_EQ(1, processes.executions("outage"));
	request(processes.addressOf("cloud"), "POST", "/standin",
			R"({"vms": [{"id": "vm-engine1", "state": "leaving", "notice_ms": 30000}]})");
	const auto isLeaving = [&](const char* _entry)
	{
		return "leaving" == processes.state(_entry)["backends"][0]["state"];
	};
	ASSERT_TRUE(await([&] { return isLeaving("ie1") && isLeaving("ie2"); }));
	expectCompleteStream(processes.stream("e1", 10), 10);
	expectCompleteStream(processes.stream("e2", 10), 10);
}

TEST_F(ProcessesTest, answersInvalidInputWithATypedErrorAndKeepsServing)
{
	struct Case
	{
		const char* target;
		std::string body;
		HttpHeaders headers;
		unsigned status;
		const char* type;
	};
	const HttpHeaders team{{"Authorization", "Bearer ta"}};
	const std::string validBody = R"({"model": "m", "prompt": "p", "max_tokens": 1})";
	const std::vector<Case> cases{
		{"/nothing", "", team, 404, "unknown-service"},
		{"/v1/completions", "{", team, 400, "malformed-request"},
		{"/v1/completions", "[]", team, 400, "malformed-request"},
		{"/v1/completions", R"({"model": "m", "prompt": "p", "max_tokens": 0})", team, 400, "malformed-request"},
		{"/v1/completions", R"({"model": "m", "prompt": 7})", team, 400, "malformed-request"},
		{"/v1/chat/completions", R"({"model": "m", "messages": []})", team, 400, "malformed-request"},
		{"/v1/completions", R"({"model": "no", "prompt": "p"})", team, 404, "unknown-model"},
		{"/v1/completions", R"({"model": "log", "prompt": "p"})", team, 404, "unknown-model"},
		{"/services/no/x", "", team, 404, "unknown-service"},
		{"/services/m/x", "", team, 404, "unknown-service"},
		{"/v1/completions", validBody, {}, 401, "unknown-token"},
		{"/v1/completions", validBody, {{"Authorization", "Bearer no"}}, 401, "unknown-token"},
		{"/v1/completions", validBody, {team[0], {"Beacongate-Deadline-Ms", "soon"}}, 400, "malformed-request"},
		{"/v1/completions", validBody, {team[0], {"Beacongate-Priority", "10"}}, 400, "malformed-request"},
		{"/v1/completions", validBody, {team[0], {"Idempotency-Key", std::string(200, 'k')}}, 400, "key-invalid"},
		{"/v1/completions", std::string(2u << 20, ' '), team, 413, "body-too-large"},
		{"/v1/completions", validBody, {team[0], {"X-Long", std::string(20'000, 'x')}}, 413, "body-too-large"}};
	for (const Case& item : cases)
	{
		const Reply reply = request(processes.addressOf("e1"), "POST", item.target, item.body, item.headers);
		ASSERT_TRUE(reply.answered) << item.target << ' ' << item.body.substr(0, 80);
		EXPECT_EQ(item.status, reply.answer.status) << reply.answer.body;
		EXPECT_EQ("not-run", reply.outcome());
		const Json body = Json::parse(reply.answer.body);
		EXPECT_EQ(std::string("urn:beacongate:problem:") + item.type, body["type"].get<std::string>());
		EXPECT_FALSE(body["detail"].get<std::string>().empty());
	}
	expectCompleteStream(processes.stream("e1", 3), 3);
}

} // namespace beacongate::test
