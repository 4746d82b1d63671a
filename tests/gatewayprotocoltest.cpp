// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP framing, event streams, gossip, store content and the platform's formats.

#include "platform/documents.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "platform/settings.h"
#include "platform/storecalls.h"
#include "protocol/base64.h"
#include "protocol/contentcodec.h"
#include "protocol/eventstream.h"
#include "protocol/gossipcodec.h"
#include "protocol/json.h"
#include "transport/forwarding.h"
#include "transport/messageparser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace beacongate::test
{
namespace
{
constexpr std::size_t kHeaderLimit = 4096;
constexpr std::size_t kBodyLimit = 1u << 20;

struct ParseResult
{
	ParseFault fault = ParseFault::None;
	bool done = false;
	MessageHead head;
	std::string body;
	std::string unparsed;
};

/// Parses bytes in pieces of 1 to 40 bytes, whose sizes follow from the list in turn; an empty list gives one
/// piece.
ParseResult parse(MessageKind _kind, const std::string& _bytes, const std::vector<std::uint8_t>& _sizes = {},
				  std::size_t _bodyLimit = kBodyLimit)
{
	MessageParser parser(_kind, kHeaderLimit, _bodyLimit);
	ParseResult result;
	std::string input;
	std::size_t bytesFed = 0;
	std::size_t sizeIndex = 0;
	while (bytesFed < _bytes.size() && !parser.done() && parser.fault() == ParseFault::None)
	{
		const std::size_t size = _sizes.empty() ? _bytes.size() : 1 + _sizes[sizeIndex++ % _sizes.size()] % 40;
		const std::size_t count = std::min(size, _bytes.size() - bytesFed);
		input += _bytes.substr(bytesFed, count);
		bytesFed += count;
		input.erase(0, parser.consume(input, result.body));
	}
	result.fault = parser.fault();
	result.done = parser.done();
	result.head = parser.head();
	result.unparsed = input + _bytes.substr(bytesFed);
	return result;
}

std::string settingsText(const std::string& _change = "")
{
	Json settings = parseJson(R"({"nodeName": "front-1", "zone": "z1", "zones": {"z1": "r", "z2": "r"},
		"listen": {"frontend": "10.0.0.1:80", "readiness": "10.0.0.1:81", "control": "10.0.0.1:82"},
		"internalPortRange": [7600, 7615], "seeds": ["10.0.0.2:82"], "unknown": {"field": 1},
		"bounds": {"graceS": 8, "strictRevoke": true, "revokeMs": 5000, "usageWindowS": 5},
		"platform": {"address": "10.0.1.1:90"},
		"cloudApi": {"address": "10.0.1.2:90", "duties": ["usage_reporting"]}})",
							  Failure::SettingInvalid);
	if (!_change.empty())
	{
		settings.merge_patch(parseJson(_change, Failure::SettingInvalid));
	}
	return settings.dump();
}

std::string encodedUpdate(const ContentUpdate& _update)
{
	return encodeUpdate({_update.since, _update.revision, _update.age, _update.configVersion},
						encodeUpdateBody(_update));
}
} // namespace

RC_GTEST_PROP(MessageParser, parsesTheSameInAnyPieces, (const std::vector<std::uint8_t>& sizes))
{
	const std::string chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
								"5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nTrailer: t\r\n\r\nGET /next";
	const ParseResult result = parse(MessageKind::Request, chunked, sizes);
	RC_ASSERT(result.done);
	RC_ASSERT(result.body == "hello world");
	RC_ASSERT(result.head.headers.size() == 2u);
	RC_ASSERT(result.unparsed == "GET /next");
}

TEST(MessageParser, rejectsAmbiguousAndInvalidLengths)
{
	const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\n";
	for (const char* lengths : {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
								"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
								"Content-Length: 5\r\nContent-Length: 6\r\n\r\n", "Content-Length: 5x\r\n\r\n",
								"Content-Length: -1\r\n\r\n"})
	{
		EXPECT_EQ(parse(MessageKind::Request, head + lengths + "hello").fault, ParseFault::Malformed) << lengths;
	}
}

TEST(MessageParser, reportsWhichLimitIsExceeded)
{
	const std::string longHeader = "GET /a HTTP/1.1\r\nX: " + std::string(2 * kHeaderLimit, 'x') + "\r\n\r\n";
	EXPECT_EQ(parse(MessageKind::Request, longHeader).fault, ParseFault::HeaderTooLarge);
	const std::string longBody = "POST /a HTTP/1.1\r\nContent-Length: 11\r\n\r\n";
	EXPECT_EQ(parse(MessageKind::Request, longBody, {}, 10).fault, ParseFault::BodyTooLarge);
	const std::string longChunks =
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n8\r\n12345678\r\n";
	EXPECT_EQ(parse(MessageKind::Request, longChunks, {}, 10).fault, ParseFault::BodyTooLarge);
}

TEST(MessageParser, anAnswerIsCompleteOnlyIfItsFramingSaysSo)
{
	for (const auto& [bytes, complete] : std::vector<std::pair<std::string, bool>>{
			 {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", false},
			 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
			 {"HTTP/1.1 200 OK\r\n\r\nhello", true}})
	{
		MessageParser parser(MessageKind::Answer, kHeaderLimit, kBodyLimit);
		std::string body;
		parser.consume(bytes, body);
		EXPECT_FALSE(parser.done());
		parser.finishAtEnd();
		EXPECT_EQ(parser.done(), complete) << bytes;
		EXPECT_EQ(parser.fault() == ParseFault::Truncated, !complete) << bytes;
	}
}

TEST(MessageParser, bytesAfterAnAnswerAreNotPartOfItsBody)
{
	const ParseResult result =
		parse(MessageKind::Answer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n");
	EXPECT_TRUE(result.done);
	EXPECT_EQ(result.body, "ok");
	EXPECT_EQ(result.unparsed, "HTTP/1.1 200 OK\r\n");
}

TEST(Forwarding, removesHopByHopHeaders)
{
	const HttpHeaders kept = endToEndHeaders({{"Host", "h"},
											  {"Connection", "close, X-Hop"},
											  {"x-hop", "1"},
											  {"Keep-Alive", "timeout=5"},
											  {"transfer-encoding", "chunked"},
											  {"Content-Length", "5"},
											  {"X-End", "2"}});
	EXPECT_EQ(kept, (HttpHeaders{{"Host", "h"}, {"X-End", "2"}}));
}

RC_GTEST_PROP(EventSplitter, returnsTheSameEventsInAnyPieces, (const std::vector<std::uint8_t>& sizes))
{
	const std::string stream =
		"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: x\ndata: c\n\nid: 4\ndata: cut";
	EventSplitter splitter;
	std::vector<StreamEvent> events;
	std::size_t bytesFed = 0;
	std::size_t sizeIndex = 0;
	while (bytesFed < stream.size())
	{
		const std::size_t size = sizes.empty() ? stream.size() : 1 + sizes[sizeIndex++ % sizes.size()] % 9;
		for (StreamEvent& event : splitter.add(std::string_view(stream).substr(bytesFed, size)))
		{
			events.push_back(std::move(event));
		}
		bytesFed += size;
	}
	RC_ASSERT(events.size() == 4u);
	RC_ASSERT(events[0].id == std::optional<std::uint64_t>(1));
	RC_ASSERT(events[1].id == std::optional<std::uint64_t>(2));
	RC_ASSERT(!events[2].id && !events[3].id);
	RC_ASSERT(splitter.pending() == std::string("id: 4\ndata: cut").size());
}

TEST(GossipCodec, roundTripsAllFields)
{
	GossipMessage message;
	message.run = {"a", 17};
	message.host = "10.0.0.1";
	message.sent = 5;
	message.echo = 6;
	message.wallClock = 7;
	message.configVersion = 8;
	message.storeRevision = 9;
	message.configAge = 10;
	message.leaving = true;
	message.members = {"10.0.0.2"};
	message.quotas = {{"team", 11.5}};
	message.loads = {{BackendKey("backend"), 12, 160}, {BackendKey("other"), 0, 4'000}};
	message.kind = GossipKind::DataCentreSums;
	message.dataCentre = "a";
	message.contentFingerprint = 0xFFFF'FFFF'FFFF'FFFFU;
	message.contentAge = 18;
	message.whole = false;
	message.wantsSums = true;
	message.gateways = 19;
	message.dataCentreUsage = {{{"/a", 2}, {20, "team", 21}}};
	message.levels = {{"team", -22.5}};
	message.usage = {{14, "team", 15}};
	message.demand = {{"service", 16.5, 2.25}};
	message.draining = {{"backend", 1'700'000'000'000}, {"other", 0}};
	const auto decoded = decodeGossip(encodeGossip(message));
	ASSERT_TRUE(decoded);
	EXPECT_EQ(encodeGossip(*decoded), encodeGossip(message));
	EXPECT_EQ(decoded->run, message.run);
	EXPECT_EQ(decoded->demand[0].work, 16.5);
	EXPECT_EQ(decoded->demand[0].occupied, 2.25);
	EXPECT_EQ(decoded->draining, message.draining);
	EXPECT_EQ(decoded->kind, message.kind);
	EXPECT_EQ(decoded->dataCentre, "a");
	EXPECT_EQ(decoded->contentFingerprint, message.contentFingerprint);
	EXPECT_EQ(decoded->gateways, 19u);
	ASSERT_EQ(decoded->loads.size(), 2u);
	EXPECT_EQ(decoded->loads[0].key, BackendKey("backend"));
	EXPECT_EQ(decoded->loads[0].inFlight, 12u);
	EXPECT_EQ(decoded->loads[1].pendingTokens, 4'000u);
	ASSERT_EQ(decoded->levels.size(), 1u);
	EXPECT_EQ(decoded->levels[0].left, -22.5);
	ASSERT_EQ(decoded->dataCentreUsage.size(), 1u);
	EXPECT_EQ(decoded->dataCentreUsage[0].first, (GatewayRun{"/a", 2}));
	EXPECT_EQ(decoded->dataCentreUsage[0].second.count, 21u);
}

TEST(GossipCodec, limitsTheNumberOfLoadsInAMessage)
{
	GossipMessage message;
	for (unsigned number = 0; number < 10'000; ++number)
	{
		message.loads.push_back({BackendKey("i-" + std::to_string(number)), 1'000, 1u << 30});
	}
	const std::string bytes = encodeGossip(message);
	EXPECT_LT(bytes.size(), 4'096u);
	const auto decoded = decodeGossip(bytes);
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->loads[0].inFlight, 255u) << "a count that does not fit is encoded as the largest value";
}

RC_GTEST_PROP(GossipCodec, rejectsTruncatedMessages, (const std::string& bytes))
{
	decodeGossip(bytes);
	GossipMessage message;
	std::string cut = encodeGossip(message);
	cut.resize(cut.size() - 1 - bytes.size() % cut.size());
	RC_ASSERT(!decodeGossip(cut));
}

TEST(ContentCodec, roundTripsAllFieldsAndRejectsOtherInput)
{
	ContentUpdate update;
	update.since = 7;
	update.revision = 9;
	update.age = 250;
	update.configVersion = 3;
	update.items = {{"a", std::string("\0\xff", 2), 8}};
	update.leftOut = {{"b", "", 9}};
	update.removed = {"c"};
	const auto decoded = decodeUpdate(encodedUpdate(update));
	ASSERT_TRUE(decoded);
	EXPECT_EQ(decoded->revision, 9u);
	EXPECT_EQ(decoded->age, 250);
	EXPECT_EQ(decoded->configVersion, 3u);
	ASSERT_EQ(decoded->items.size(), 1u);
	EXPECT_EQ(decoded->items[0].value, update.items[0].value);
	EXPECT_EQ(decoded->leftOut[0].key, "b");
	EXPECT_EQ(decoded->removed, update.removed);
	EXPECT_FALSE(decoded->keys);
	update.keys = {"a", "b"};
	EXPECT_EQ(decodeUpdate(encodedUpdate(update))->keys, update.keys);
	StoreContent content;
	content.revision = 5;
	content.items["k"] = {"k", "v", 4};
	const auto decodedContent =
		decodeContent(encodeContent(content.revision, 100, encodeContentBody(content)), 1000);
	ASSERT_TRUE(decodedContent);
	EXPECT_EQ(decodedContent->confirmed, 900);
	EXPECT_EQ(decodedContent->items.at("k").value, "v");
	EXPECT_FALSE(decodeUpdate(encodeContent(content.revision, 100, encodeContentBody(content))));
	EXPECT_FALSE(decodeContent("nonsense", 0));
	EXPECT_EQ(readUpdatePath("/content/since/12"), 12u);
	EXPECT_FALSE(readUpdatePath("/content/since/12x"));
	EXPECT_FALSE(readUpdatePath("/content"));
}

TEST(PlatformSettings, readsSettingsAndIgnoresUnknownFields)
{
	const GatewaySettings settings = platform::readSettings(settingsText());
	EXPECT_EQ(settings.name, "front-1");
	EXPECT_EQ(settings.callers, (Address{"10.0.0.1", 80}));
	EXPECT_EQ(settings.gossipPort, 7600);
	EXPECT_EQ(settings.revocationSpan, 5 * kSecond);
	EXPECT_EQ(settings.usageWindow, 5 * kSecond);
	EXPECT_TRUE(settings.reportsUsage);
	EXPECT_FALSE(settings.ordersCapacity);
}

TEST(PlatformSettings, namesMissingAndContradictorySettings)
{
	for (const auto& [change, named] : std::vector<std::pair<std::string, std::string>>{
			 {R"({"nodeName": null})", "nodeName"},
			 {R"({"listen": {"frontend": null}})", "frontend"},
			 {R"({"listen": {"readiness": "10.0.0.1:80"}})", "same address"},
			 {R"({"listen": {"frontend": "nowhere"}})", "nowhere"},
			 {R"({"internalPortRange": [7615, 7600]})", "internalPortRange"},
			 {R"({"bounds": {"revokeMs": null}})", "revokeMs"},
			 {R"({"bounds": {"usageWindowS": 0}})", "usageWindowS"},
			 {R"({"platform": null})", "platform"},
			 {R"({"seeds": ["x"]})", "seeds"}})
	{
		try
		{
			platform::readSettings(settingsText(change));
			ADD_FAILURE() << change << " was taken";
		}
		catch (const Error& error)
		{
			EXPECT_EQ(error.failure(), Failure::SettingInvalid);
			EXPECT_NE(std::string(error.what()).find(named), std::string::npos) << error.what();
		}
	}
	EXPECT_THROW(platform::readSettings("{"), Error);
}

TEST(PlatformDocuments, readsACompleteConfiguration)
{
	const RoutingConfigPtr config = platform::readConfig(R"({"version": 7, "routes": [
		{"name": "r1", "host": "H.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 15000,
		 "targetLatencyMs": 600, "priority": 1, "maxAttempts": 2, "streamResume": true,
		 "trafficSplit": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]},
		{"name": "r2", "host": "h.example", "pathPrefix": "/a/b/", "kind": "unsafe", "service": "s2"}],
		"services": [{"name": "s1", "maxConnections": 5, "engine": {"slots": 64, "moves": true},
			"autoscaling": {"min": 1, "max": 6, "bootTimeS": 4.0, "spotPrice": 0.18, "zonePrices": {"z1": 1.0}}},
			{"name": "s2"}],
		"limits": {"maxHeaderBytes": 100, "idleTimeoutMs": 15000},
		"tenants": [{"name": "t", "apiKeys": ["k1", "k2"], "unit": "generation", "plainTokens": 200, "ratePerS": 10}]})");
	ASSERT_EQ(config->routes.size(), 2u);
	EXPECT_EQ(config->findRoute("h.example:80", "/a/x")->name, "r1");
	EXPECT_EQ(config->findRoute("H.EXAMPLE", "/a/b/x")->name, "r2");
	EXPECT_EQ(config->findRoute("h.example", "/a"), nullptr);
	EXPECT_EQ(config->findRoute("other", "/a/x"), nullptr);
	EXPECT_EQ(config->findTeamByKey("k2")->name, "t");
	EXPECT_EQ(config->findTeamByKey("k3"), nullptr);
	EXPECT_TRUE(config->routes[0].repeatable());
	EXPECT_FALSE(config->routes[1].repeatable());
	EXPECT_EQ(config->findService("s1")->scaling->bootTime, 4 * kSecond);
	EXPECT_EQ(config->limits.headerBytes, 100u);
}

TEST(PlatformDocuments, rejectsInvalidConfigurations)
{
	for (const char* text : {"", "[]", R"({"routes": [], "services": []})", R"({"version": 1, "services": []})",
							 R"({"version": 1, "routes": [{"host": "h"}], "services": []})",
							 R"({"version": 1, "services": [], "routes": [
								{"host": "h", "pathPrefix": "/", "kind": "odd", "service": "s"}]})"})
	{
		EXPECT_THROW(platform::readConfig(text), Error) << text;
	}
}

TEST(PlatformHeaders, replacesForgedHeadersAndRemovesSecrets)
{
	const HttpHeaders fromCaller{{"Host", "h"},
								 {"X-Beacongate-Tenant-Id", "forged"},
								 {"x-beacongate-target-instance", "forged"},
								 {"X-Beacongate-Request-Priority", "0"},
								 {"Kv-From", "forged"},
								 {"Api-Key", "secret"},
								 {"X-Beacongate-Deadline-Ms", "9000"},
								 {"X-Beacongate-Model", "m"}};
	ForwardFields fields;
	fields.timeLeft = 1500 * kMillisecond;
	fields.backendId = "b";
	fields.team = "t";
	const HttpHeaders sent = platform::forwardedHeaders(fromCaller, fields);
	EXPECT_EQ(sent, (HttpHeaders{{"Host", "h"},
								 {"X-Beacongate-Model", "m"},
								 {platform::kDeadline, "1500"},
								 {platform::kTarget, "b"},
								 {platform::kTenant, "t"}}));
}

TEST(PlatformHeaders, readsRequestHeadersAndRejectsInvalidDeadlines)
{
	MessageHead head;
	head.headers = {{"Host", "h"},
					{"X-Beacongate-Request-Attempt-Id", "9c"},
					{"X-Beacongate-Token-Counts", "1460,80"},
					{"X-Beacongate-Prompt-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
					{"X-Beacongate-Deadline-Ms", "15000"},
					{"Api-Key", "k"}};
	const RequestInfo info = platform::readRequest(head);
	EXPECT_EQ(info.promptTokens, 1460u);
	EXPECT_EQ(info.outputTokens, 80u);
	ASSERT_EQ(info.parts.size(), 3u);
	EXPECT_EQ(info.parts[1].id, 0x91bd3f06u);
	EXPECT_EQ(info.deadline, 15 * kSecond);
	for (const char* deadline : {"", "x", "-5", "1.5", "99999999999999999999"})
	{
		head.headers = {{"X-Beacongate-Deadline-Ms", deadline}};
		EXPECT_THROW(platform::readRequest(head), Error) << deadline;
	}
}

TEST(PlatformStore, lostOrInvalidAnswersLeaveTheOutcomeUnknown)
{
	EXPECT_EQ(platform::readTransaction(std::nullopt).outcome, KvOutcome::Unknown);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{500, {}, ""}).outcome, KvOutcome::Unknown);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{412, {}, "{"}).outcome, KvOutcome::Unknown);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{503, {}, ""}).outcome, KvOutcome::NotDone);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{429, {}, ""}).outcome, KvOutcome::NotDone);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{404, {}, ""}).outcome, KvOutcome::LeaseGone);
	EXPECT_EQ(platform::readTransaction(HttpAnswer{200, {}, R"({"revision": 4})"}).outcome, KvOutcome::Done);
	EXPECT_FALSE(platform::readRange(HttpAnswer{200, {}, R"({"items": [{}], "at": 1})"}));
	EXPECT_FALSE(platform::readRange(HttpAnswer{429, {}, ""}));
	EXPECT_TRUE(platform::readWatch(HttpAnswer{410, {}, ""})->historyLost);
}

TEST(PlatformStore, readsEventsOfRemovedKeys)
{
	const std::string body = R"({"events": [{"key": "a", "value": ")" + toBase64("v") +
							 R"(", "revision": 5}, {"key": "b", "revision": 6, "gone": true}], "at": 6})";
	const auto events = platform::readWatch(HttpAnswer{200, {}, body});
	ASSERT_TRUE(events);
	ASSERT_EQ(events->items.size(), 2u);
	EXPECT_EQ(events->items[0].value, "v");
	EXPECT_EQ(events->items[1].revision, 0u);
	EXPECT_EQ(events->revision, 6u);
}

} // namespace beacongate::test
