// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Documents, codecs and the operators' command language: valid input round-trips, and errors give the type and the
/// position of invalid input.

#include "daemon/logging.h"
#include "daemon/options.h"
#include "protocol/base64.h"
#include "protocol/configdoc.h"
#include "protocol/documents.h"
#include "protocol/etcd.h"
#include "protocol/openai.h"
#include "protocol/peercodec.h"
#include "protocol/query.h"
#include "protocol/statedump.h"
#include "transport/rpc.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate
{
namespace
{
const std::string kDocument = R"({"version": 3, "teams": [{"name": "a", "token": "ta", "weight": 2}],
	"services": [{"name": "m", "kind": "model"}, {"name": "log", "kind": "plain"}],
	"backends": [{"id": "b1", "service": "m", "address": "127.0.0.1:9", "vm": "v1", "dataCentre": "dc0"}]})";

/// @returns the failure and the message of the Error that a call throws.
template <typename Call> std::pair<Failure, std::string> failureOf(Call _call)
{
	try
	{
		_call();
	}
	catch (const Error& error)
	{
		return {error.failure(), error.what()};
	}
	return {Failure::Internal, "nothing was thrown"};
}

std::string documentWith(const std::string& _from, const std::string& _to)
{
	std::string text = kDocument;
	text.replace(text.find(_from), _from.size(), _to);
	return text;
}
} // namespace

RC_GTEST_PROP(Etcd, base64RoundTripsAnyBytes, (const std::string& _bytes))
{
	RC_ASSERT(fromBase64(toBase64(_bytes)) == _bytes);
}

RC_GTEST_PROP(PeerCodec, roundTripsAnyHandoverAndAnswer,
			  (const std::string& _body, const std::vector<std::string>& _tokens))
{
	RequestHandover handover;
	handover.number = 7;
	handover.payload.body = _body;
	handover.tokens = _tokens;
	handover.released = ClaimRequestRef{EntryRef{"e1", 5}, 9};
	AttachEnd end;
	end.kept = true;
	end.answer.body = _body;
	const PeerEnvelope sent{EntryRef{"e1", 5}, EntryRef{"e2", 6}, {handover, end}};
	const PeerEnvelope received = decodeEnvelope(encodeEnvelope(sent));
	RC_ASSERT(received.from == sent.from);
	RC_ASSERT(received.to == sent.to);
	RC_ASSERT(std::get<RequestHandover>(received.messages.at(0)).payload.body == _body);
	RC_ASSERT(std::get<RequestHandover>(received.messages.at(0)).tokens == _tokens);
	RC_ASSERT(std::get<RequestHandover>(received.messages.at(0)).released == handover.released);
	RC_ASSERT(std::get<AttachEnd>(received.messages.at(1)).answer.body == _body);
}

RC_GTEST_PROP(PeerCodec, rejectsOtherBytesAsMalformed, (const std::string& _bytes))
{
	RC_ASSERT(Failure::MalformedRequest == failureOf([&] { decodeEnvelope(_bytes); }).first);
}

RC_GTEST_PROP(Sse, parsesTheSameEventsInAnyPieces, (const std::vector<std::uint8_t>& _cuts))
{
	std::string bytes;
	for (std::uint64_t ii = 0; ii < 5; ++ii)
	{
		bytes += tokenEvent(OpenAiEndpoint::Chat, "m", "r", ii, "w\n\"" + std::to_string(ii));
	}
	bytes += endEvents(OpenAiEndpoint::Chat, "m", "r", 1, 5);
	SseReader reader;
	std::vector<ModelChunk> chunks;
	std::size_t position = 0;
	const auto feed = [&](std::size_t _count)
	{
		for (const SseEvent& event : reader.feed(std::string_view(bytes).substr(position, _count)))
		{
			chunks.push_back(readChunk(event));
		}
		position = std::min(bytes.size(), position + _count);
	};
	for (const std::uint8_t cut : _cuts)
	{
		feed(cut);
	}
	feed(bytes.size());
	RC_ASSERT(7u == chunks.size());
	for (std::uint64_t ii = 0; ii < 5; ++ii)
	{
		RC_ASSERT(chunks[ii].offset == ii);
		RC_ASSERT(chunks[ii].token == "w\n\"" + std::to_string(ii));
	}
	RC_ASSERT(chunks.back().end);
}

TEST(ConfigDoc, errorsGiveThePositionAndTheCause)
{
	const std::vector<std::pair<std::string, std::string>> cases{
		{"{", "not JSON, at byte 2"},
		{documentWith("\"version\": 3", "\"version\": 0"), "document: 'version' has to be at least 1"},
		{documentWith("\"version\": 3", "\"wersion\": 3"), "document: 'wersion' is not a known field"},
		{documentWith("\"weight\": 2", "\"weight\": -1"),
		 "teams[0]: 'weight' has to be above 0 and at most 1000000"},
		{documentWith("\"weight\": 2", "\"weight\": \"x\""), "teams[0]: 'weight' has the wrong type"},
		{documentWith("\"kind\": \"model\"", "\"kind\": \"model\", \"repeatable\": false"),
		 "services[0]: a model is always repeatable"},
		{documentWith("\"name\": \"log\"", "\"name\": \"m\""), "services[1]: 'm' is used twice"},
		{documentWith("\"service\": \"m\"", "\"service\": \"x\""), "backends[0]: service 'x' is not in 'services'"},
		{documentWith("127.0.0.1:9", "localhost:9"),
		 "backends[0]: 'localhost:9' is not an IP address and port (IP:port)"},
		{documentWith("127.0.0.1:9", "127.0.0.1:70000"),
		 "backends[0]: '127.0.0.1:70000' is not an IP address and port (IP:port)"}};
	for (const auto& item : cases)
	{
		const auto [failure, message] = failureOf([&] { jsonDocumentCodec().readConfig(item.first); });
		EXPECT_EQ(Failure::ConfigInvalid, failure);
		EXPECT_EQ(item.second, message);
	}
	EXPECT_EQ(3u, jsonDocumentCodec().readConfig(kDocument).config->version);
}

TEST(ConfigDoc, rejectsADocumentWithALowerVersion)
{
	const auto apply = []
	{
		jsonDocumentCodec().editConfig(kDocument, "apply " + documentWith("\"version\": 3", "\"version\": 2"), "c");
	};
	EXPECT_EQ(Failure::ConfigStale, failureOf(apply).first);
}

TEST(ConfigDoc, aChangeRaisesTheVersionAndEntersTheHistory)
{
	const ConfigDoc next = jsonDocumentCodec().editConfig(kDocument, "set team a weight 5", "c1");
	EXPECT_EQ(4u, next.config->version);
	EXPECT_EQ(5.0, next.config->teams[0].weight);
	EXPECT_EQ(std::vector<std::string>{"c1"}, next.history);
	EXPECT_TRUE(jsonDocumentCodec().editConfig(next.text, "drain backend b1", "c2").config->backends[0].drained);
	EXPECT_TRUE(jsonDocumentCodec().editConfig(next.text, "remove backend b1", "c2").config->backends.empty());
}

TEST(Query, errorsNameTheWrongWord)
{
	const std::vector<std::pair<std::string, std::string>> cases{
		{"show nothing", "'nothing' is not one of backends, requests, teams, services, entries, config"},
		{"show teams when x = 1", "'when' was found where 'where' is expected"},
		{"show teams where weight ~ 1", "'~' is not one of =, !=, <, >"},
		{"show teams where weight =", "the statement ends where a value is expected"},
		{"explain request a:1:2 now", "'now' is an unexpected word"}};
	for (const auto& item : cases)
	{
		EXPECT_EQ(std::make_pair(Failure::QueryInvalid, item.second), failureOf([&] { readQuery(item.first); }));
	}
	const auto unknown = []
	{
		jsonDocumentCodec().editConfig(kDocument, "set team nobody weight 5", "c1");
	};
	EXPECT_EQ("there is no 'nobody' in teams", failureOf(unknown).second);
}

TEST(Query, selectsRowsByNumbersAndStrings)
{
	const Json rows = Json::parse(R"([{"id": "b1", "active": 2}, {"id": "b2", "active": 10}])");
	EXPECT_EQ("b2", select(rows, readQuery("show backends where active > 9").conditions).at(0)["id"]);
	EXPECT_EQ(1u, select(rows, readQuery("show backends where id = b1 and active < 9").conditions).size());
	const auto unknown = [&]
	{
		select(rows, readQuery("show backends where colour = red").conditions);
	};
	EXPECT_EQ("there is no column 'colour'", failureOf(unknown).second);
}

TEST(Rpc, errorsKeepTheirTypeAndEveryRequestIsAnswered)
{
	RpcServer server({{"fail",
					   [](const std::string&) -> std::string
					   {
						   throw Error(Failure::ConfigStale, "old");
					   }},
					  {"echo", [](const std::string& _text)
					   {
						   return _text;
					   }}});
	EXPECT_EQ("config-stale: old", rpcResult(server.handle(rpcRequest("fail", ""))).value);
	EXPECT_EQ("a \"b\"", rpcResult(server.handle(rpcRequest("echo", "a \"b\""))).value);
	EXPECT_FALSE(rpcResult(server.handle(rpcRequest("none", ""))).ok);
	EXPECT_FALSE(rpcResult(server.handle("{")).ok);
	EXPECT_FALSE(rpcResult("nonsense").ok);
}

TEST(Settings, contradictoryOrInvalidSettingsEndWithExitCode2)
{
	const std::vector<std::vector<const char*>> cases{
		{"entry", "--id", "e1"},
		{"entry", "--id", "e 1", "--data-centre", "d", "--listen", "127.0.0.1:1", "--internal", "127.0.0.1:2"},
		{"entry", "--id", "e1", "--data-centre", "d", "--listen", "nowhere", "--internal", "127.0.0.1:2"},
		{"entry", "--id", "e1", "--data-centre", "d", "--listen", "127.0.0.1:1", "--internal", "127.0.0.1:1"},
		{"entry", "--id", "e1", "--data-centre", "d", "--listen", "127.0.0.1:1", "--internal", "127.0.0.1:2",
		 "--stop-grace-ms", "5000", "--stop-notice-ms", "1000"}};
	for (const std::vector<const char*>& arguments : cases)
	{
		EntryOptions options;
		bool ended = false;
		EXPECT_EQ(kExitSettings,
				  readEntryOptions(static_cast<int>(arguments.size()), arguments.data(), options, ended));
		EXPECT_TRUE(ended);
	}
}

TEST(Logging, formatsAnEventAsOneLine)
{
	EXPECT_EQ(R"(event=x a=1 b="two words" c="q\" end" d="")",
			  formatEvent("x", {{"a", "1"}, {"b", "two words"}, {"c", "q\" end"}, {"d", ""}}));
}

} // namespace beacongate
