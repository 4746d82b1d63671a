// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-bench: measures the memory and time that the entry core and the documents take at several
// sizes and fits a line to each series. docs/CAPACITY.md is calculated from its output.

#include "coordination/entrycore.h"
#include "coordination/load/serverspeeds.h"
#include "daemon/clock.h"
#include "platform/headers.h"
#include "platform/names.h"
#include "protocol/documents.h"
#include "protocol/peercodec.h"
#include "protocol/statedump.h"
#include "transport/rpc.h"

#include <cstdio>
#include <functional>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace
{
using namespace beacongate;

/// A measured value and the size at which it was measured.
struct Measurement
{
	double size = 0.0;
	double value = 0.0;
};

/// Prints measurements and the least-squares line fitted to them.
void printSeries(const char* _what, const char* _per, const char* _unit,
				 const std::vector<Measurement>& _measurements)
{
	double n = 0.0;
	double sx = 0.0;
	double sy = 0.0;
	double sxx = 0.0;
	double sxy = 0.0;
	std::printf("| %s |", _what);
	for (const Measurement& measurement : _measurements)
	{
		n += 1.0;
		sx += measurement.size;
		sy += measurement.value;
		sxx += measurement.size * measurement.size;
		sxy += measurement.size * measurement.value;
		std::printf(" %.0f: %.4g", measurement.size, measurement.value);
	}
	const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	std::printf(" | %.4g %s per %s, at zero %.4g |\n", slope, _unit, _per, (sy - slope * sx) / n);
}

double heapBytes()
{
	const struct mallinfo2 info = mallinfo2();
	return static_cast<double>(info.uordblks + info.hblkhd);
}

/// @returns the heap memory in bytes that the result of a function occupies.
double heapBytesOf(const std::function<std::shared_ptr<void>()>& _make)
{
	const double before = heapBytes();
	const std::shared_ptr<void> kept = _make();
	return heapBytes() - before;
}

/// @returns the shortest duration of three runs, in microseconds.
double microsOf(const std::function<void()>& _run)
{
	double best = 1e18;
	for (int ii = 0; ii < 3; ++ii)
	{
		const Micros start = monotonicNow();
		_run();
		best = std::min(best, static_cast<double>(monotonicNow() - start));
	}
	return best;
}

std::shared_ptr<Config> makeConfig(std::size_t _backends, std::size_t _teams)
{
	auto config = std::make_shared<Config>();
	config->version = 1;
	for (std::size_t ii = 0; ii < _teams; ++ii)
	{
		const std::string name = "team" + std::to_string(ii);
		config->teams.push_back(TeamConfig{name, "token-" + name, 1.0, 1'000'000});
	}
	config->services.push_back(ServiceConfig{"model", ServiceKind::Model, true, 1500 * kMillisecond});
	for (std::size_t ii = 0; ii < _backends; ++ii)
	{
		BackendConfig backend;
		backend.id = "worker-" + std::to_string(ii);
		backend.service = "model";
		backend.address = Address{"10.20.30.40", 8000};
		backend.vm = "vm-" + std::to_string(ii);
		backend.dataCentre = "dc" + std::to_string(ii % 30);
		backend.slots = 1'000'000;
		config->backends.push_back(std::move(backend));
	}
	return config;
}

std::shared_ptr<Roster> makeRoster(std::size_t _members)
{
	auto roster = std::make_shared<Roster>();
	roster->version = 1;
	for (std::size_t ii = 0; ii < _members; ++ii)
	{
		RosterMember member;
		member.entry = EntryRef{"entry-" + std::to_string(ii), 1'796'205'175'583'035};
		member.peerAddress = Address{"10.20.30.40", 9000};
		member.controlAddress = Address{"10.20.30.40", 9001};
		member.dataCentre = "dc" + std::to_string(ii % 3);
		member.vm = "vm-entry-" + std::to_string(ii);
		member.joinedVersion = 1;
		roster->members.push_back(std::move(member));
	}
	return roster;
}

std::shared_ptr<EntryCore> makeCore(std::size_t _backends, std::size_t _teams, std::size_t _members = 1)
{
	EntrySettings settings;
	const std::shared_ptr<Roster> roster = makeRoster(_members);
	settings.self = roster->members[0].entry;
	auto core = std::make_shared<EntryCore>(settings);
	SnapshotArrived arrived;
	arrived.snapshot.config = makeConfig(_backends, _teams);
	arrived.snapshot.roster = roster;
	Actions actions;
	core->handle(std::move(arrived), kSecond, actions);
	return core;
}

CallerRequest makeRequest(ExchangeId _exchange, std::size_t _team, const std::string& _key)
{
	static const std::string s_body(1200, 'x');
	CallerRequest request;
	request.exchange = _exchange;
	request.token = "token-team" + std::to_string(_team);
	request.service = "model";
	CallPayload payload;
	payload.kind = ServiceKind::Model;
	payload.method = "POST";
	payload.path = "/v1/completions";
	payload.body = s_body;
	payload.prompt = "prompt " + std::to_string(_exchange % 64) + s_body;
	payload.maxTokens = 300;
	request.payload = std::make_shared<const CallPayload>(std::move(payload));
	request.key = _key;
	return request;
}

/// Runs requests from acceptance to completion, each with one token.
/// @returns the mean time of a request, in microseconds.
double microsPerRequest(std::size_t _backends, std::size_t _teams)
{
	const std::shared_ptr<EntryCore> core = makeCore(_backends, _teams);
	constexpr std::size_t kRequests = 2000;
	ExchangeId next = 1;
	Actions actions;
	const double total = microsOf(
		[&]
		{
			for (std::size_t ii = 0; ii < kRequests; ++ii)
			{
				actions.clear();
				const ExchangeId exchange = next++;
				core->handle(makeRequest(exchange, exchange % _teams, ""), kSecond, actions);
				const AttemptId attempt = std::get<StartAttempt>(actions.back()).attempt;
				core->handle(AttemptTokens{attempt, 0, {" word"}}, kSecond, actions);
				core->handle(AttemptDone{attempt, 200, {}, {}, 1}, kSecond, actions);
			}
		});
	return total / kRequests;
}

void benchEntry()
{
	std::vector<Measurement> memory;
	std::vector<Measurement> time;
	for (const std::size_t backends : {10u, 100u, 1000u, 10'000u})
	{
		const auto size = static_cast<double>(backends);
		memory.push_back({size, heapBytesOf([&] { return makeCore(backends, 5); })});
		time.push_back({size, microsPerRequest(backends, 5)});
	}
	printSeries("entry: memory by backend servers known", "backend server", "B", memory);
	printSeries("entry: time of a request by backend servers known", "backend server", "us", time);
	memory.clear();
	time.clear();
	for (const std::size_t teams : {5u, 50u, 500u})
	{
		const auto size = static_cast<double>(teams);
		memory.push_back({size, heapBytesOf([&] { return makeCore(20, teams); })});
		time.push_back({size, microsPerRequest(20, teams)});
	}
	printSeries("entry: memory by teams", "team", "B", memory);
	printSeries("entry: time of a request by teams", "team", "us", time);
}

/// @returns an entry core that holds requests.
/// @param[in] _slotsFree Whether slots are free, so that requests are dispatched; otherwise all but one queue.
/// @param[in] _tokens Tokens that each request receives.
/// @param[in] _keyed Whether each request has an idempotency key and is completed.
std::shared_ptr<EntryCore> filledCore(std::size_t _requests, bool _slotsFree, std::size_t _tokens, bool _keyed)
{
	auto core = makeCore(_slotsFree ? 20 : 1, 5);
	Actions actions;
	if (!_slotsFree)
	{
		SnapshotArrived arrived;
		auto config = makeConfig(1, 5);
		config->version = 2;
		config->backends[0].slots = 1;
		arrived.snapshot.config = config;
		core->handle(std::move(arrived), kSecond, actions);
	}
	for (std::size_t ii = 0; ii < _requests; ++ii)
	{
		actions.clear();
		core->handle(makeRequest(ii + 1, ii % 5, _keyed ? "key-" + std::to_string(ii) : ""), kSecond, actions);
		const StartAttempt* start = actions.empty() ? nullptr : std::get_if<StartAttempt>(&actions.back());
		const AttemptId attempt = nullptr == start ? 0 : start->attempt;
		for (std::size_t token = 0; token < _tokens; ++token)
		{
			core->handle(AttemptTokens{attempt, token, {" word"}}, kSecond, actions);
		}
		if (_keyed)
		{
			core->handle(AttemptDone{attempt, 200, {}, {}, _tokens}, kSecond, actions);
		}
	}
	return core;
}

void benchRequests()
{
	std::vector<Measurement> queued;
	std::vector<Measurement> streams;
	std::vector<Measurement> claims;
	for (const std::size_t count : {1000u, 4000u, 16'000u})
	{
		const auto size = static_cast<double>(count);
		queued.push_back({size, heapBytesOf([&] { return filledCore(count, false, 0, false); })});
		streams.push_back({size, heapBytesOf([&] { return filledCore(count, true, 300, false); })});
		claims.push_back({size, heapBytesOf([&] { return filledCore(count, true, 300, true); })});
	}
	printSeries("entry: memory by queued requests (1.2 kB bodies)", "request", "B", queued);
	printSeries("entry: memory by open streams (300 tokens sent)", "stream", "B", streams);
	printSeries("entry: memory by keys claimed and answered (300 tokens kept)", "key", "B", claims);
}

void benchTokens()
{
	std::vector<Measurement> time;
	for (const std::size_t streams : {100u, 1000u, 4000u})
	{
		const std::shared_ptr<EntryCore> core = filledCore(streams, true, 0, false);
		constexpr std::size_t kRounds = 100;
		std::uint64_t next = 0;
		Actions actions;
		const double total = microsOf(
			[&]
			{
				for (std::size_t round = 0; round < kRounds; ++round)
				{
					for (std::size_t stream = 0; stream < streams; ++stream)
					{
						actions.clear();
						core->handle(AttemptTokens{stream + 1, next, {" word"}}, kSecond, actions);
					}
					++next;
				}
			});
		time.push_back({static_cast<double>(streams), total / static_cast<double>(kRounds * streams)});
	}
	printSeries("entry: time of a token by open streams", "stream", "us", time);
}

void benchExchange()
{
	std::vector<Measurement> bytes;
	for (const std::size_t members : {9u, 100u, 282u})
	{
		PeerExchange exchange;
		exchange.from = Address{"10.20.30.40", 9001};
		exchange.versions = VersionSet{7200, 300, 12'345'678'901'234'567u};
		const double idle = static_cast<double>(rpcRequest("exchange", toJson(exchange).dump()).size());
		exchange.rosterText = jsonDocumentCodec().writeRoster(*makeRoster(members));
		const double withRoster = static_cast<double>(rpcRequest("exchange", toJson(exchange).dump()).size());
		std::printf("| exchange of two controls, body at %zu members | idle: %.0f B, with a roster: %.0f B | |\n",
					members, idle, withRoster);
		bytes.push_back({static_cast<double>(members), withRoster});
	}
	printSeries("exchange with a roster", "member", "B", bytes);
}

void benchRoster()
{
	std::vector<Measurement> home;
	std::vector<Measurement> adoption;
	std::vector<Measurement> text;
	std::vector<Measurement> parse;
	for (const std::size_t members : {9u, 100u, 282u, 1000u})
	{
		const auto size = static_cast<double>(members);
		const std::shared_ptr<Roster> roster = makeRoster(members);
		constexpr int kKeys = 2000;
		home.push_back({size, microsOf(
								  [&]
								  {
									  for (int ii = 0; ii < kKeys; ++ii)
									  {
										  homeOf("team/service/key-" + std::to_string(ii), *roster);
									  }
								  }) /
								  kKeys});
		adoption.push_back({size, microsOf(
									  [&]
									  {
										  HomeTable table(roster->members[0].entry);
										  table.adopt(roster, {}, 0);
									  })});
		const std::string json = jsonDocumentCodec().writeRoster(*roster);
		text.push_back({size, static_cast<double>(json.size())});
		parse.push_back({size, microsOf([&] { jsonDocumentCodec().readRoster(json); })});
	}
	printSeries("home of a key by roster size", "member", "us", home);
	printSeries("adopting a roster without claims, with its seals", "member", "us", adoption);
	printSeries("roster document", "member", "B", text);
	printSeries("reading a roster document", "member", "us", parse);
	std::vector<Measurement> sealing;
	for (const std::size_t claims : {500u, 2000u, 8000u})
	{
		const std::shared_ptr<Roster> roster = makeRoster(282);
		HomeTable table(roster->members[0].entry);
		std::vector<Claim> executed;
		for (std::size_t ii = 0; ii < claims; ++ii)
		{
			executed.push_back(
				Claim{"team/service/key-" + std::to_string(ii), 1, ClaimRequestRef{roster->members[0].entry, ii}});
		}
		auto next = std::make_shared<Roster>(*roster);
		sealing.push_back({static_cast<double>(claims), microsOf(
															[&]
															{
																next->version += 1;
																table.adopt(std::make_shared<Roster>(*next),
																			executed, 0);
															})});
	}
	printSeries("sealing to 281 entries by claims", "claim", "us", sealing);
}

void benchConfig()
{
	std::vector<Measurement> bytes;
	std::vector<Measurement> time;
	std::vector<Measurement> memory;
	for (const std::size_t backends : {30u, 300u, 3000u})
	{
		const auto size = static_cast<double>(backends);
		Json json{{"version", 1}, {"teams", Json::array()}, {"backends", Json::array()}};
		json["services"] = Json::array({Json{{"name", "model"}, {"kind", "model"}}});
		const std::shared_ptr<Config> config = makeConfig(backends, 5);
		for (const BackendConfig& backend : config->backends)
		{
			json["backends"].push_back({{"id", backend.id},
										{"service", backend.service},
										{"address", "10.20.30.40:8000"},
										{"vm", backend.vm},
										{"dataCentre", backend.dataCentre}});
		}
		const std::string text = json.dump();
		bytes.push_back({size, static_cast<double>(text.size())});
		time.push_back({size, microsOf([&] { jsonDocumentCodec().readConfig(text); })});
		memory.push_back(
			{size, heapBytesOf([&] { return std::make_shared<ConfigDoc>(jsonDocumentCodec().readConfig(text)); })});
	}
	printSeries("configuration document", "backend server", "B", bytes);
	printSeries("reading and checking it", "backend server", "us", time);
	printSeries("keeping it (text and values)", "backend server", "B", memory);
}

/// @returns the mean time of reading the headers of an answer, in microseconds.
double microsPerAnswerHead(const MessageHead& _head)
{
	constexpr std::size_t kAnswers = 200'000;
	std::size_t read = 0;
	const double total = microsOf(
		[&]
		{
			for (std::size_t ii = 0; ii < kAnswers; ++ii)
			{
				read += platform::readAnswer(_head).load ? 1 : 0;
			}
		});
	return total / kAnswers;
}

/// Measures what the load that a server states in an answer costs. Decoding and evaluation together must take less
/// than 0.3 us.
void benchLoads()
{
	std::vector<Measurement> decoding;
	for (const std::size_t headers : {2u, 8u, 20u})
	{
		MessageHead head;
		head.status = 200;
		for (std::size_t ii = 0; ii < headers; ++ii)
		{
			head.headers.emplace_back("X-Header-" + std::to_string(ii), "value");
		}
		const double without = microsPerAnswerHead(head);
		head.headers.emplace_back(platform::kLoad, "13,2,64,150");
		decoding.push_back({static_cast<double>(headers), microsPerAnswerHead(head) - without});
	}
	printSeries("load: decoding its header by other headers", "header", "us", decoding);
	constexpr std::size_t kLoads = 200'000;
	std::vector<Measurement> evaluation;
	for (const std::size_t servers : {10u, 140u, 10'000u})
	{
		std::vector<BackendKey> keys;
		for (std::size_t ii = 0; ii < servers; ++ii)
		{
			keys.emplace_back("server-" + std::to_string(ii));
		}
		ServerSpeeds speeds;
		Micros now = kSecond;
		volatile double present = 0.0; // The compiler must not leave the work out.
		const double total = microsOf(
			[&]
			{
				for (std::size_t ii = 0; ii < kLoads; ++ii)
				{
					const BackendKey key = keys[ii % servers];
					speeds.onLoad(key, ServerLoad{13, 2, 64, 0.6 + 0.1 * static_cast<double>(ii % 7)}, now);
					now += 10;
					present = speeds.present(key, now);
				}
			});
		evaluation.push_back({static_cast<double>(servers), total / kLoads});
	}
	printSeries("load: onLoad() and present() by servers", "server", "us", evaluation);
}
} // namespace

int main()
{
	std::setvbuf(stdout, nullptr, _IOLBF, 0);
	std::printf("| what | readings (size: value) | fitted |\n| --- | --- | --- |\n");
	benchEntry();
	benchRequests();
	benchTokens();
	benchRoster();
	benchExchange();
	benchConfig();
	benchLoads();
	return 0;
}
