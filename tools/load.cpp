// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Program beacongate-load: generates open-loop load with Poisson arrivals, or closed-loop load from a fixed number
// of callers, and prints outcomes and latencies as JSON. The duration and the number of requests are limited, and
// only loopback addresses are accepted as targets.

#include "daemon/clock.h"
#include "daemon/options.h"
#include "protocol/configdoc.h"
#include "protocol/json.h"
#include "transport/httpclient.h"

#include <CLI/CLI.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <algorithm>
#include <functional>
#include <future>
#include <iostream>
#include <map>
#include <random>
#include <unordered_map>

namespace
{
using namespace beacongate;
namespace acc = boost::accumulators;

constexpr std::size_t kMaxRequests = 2'000'000;
constexpr double kMaxDurationSeconds = 600.0;

/// The requests to send, their rate and the duration of the run.
struct LoadOptions
{
	std::vector<Address> targets;
	std::string path = "/services/log/write";
	std::string token;
	std::string model; ///< If empty, plain calls are sent.
	int maxTokens = 32;
	double rate = 0.0; ///< Arrivals per second; 0 selects the closed loop.
	std::size_t callers = 1;
	double seconds = 5.0;
	std::uint64_t seed = 1;
};

using Quantiles = acc::accumulator_set<
	double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max, acc::tag::tail_quantile<acc::right>>>;

Json summary(const Quantiles& _values)
{
	if (0 == acc::count(_values))
	{
		return Json::object();
	}
	const auto quantile = [&](double _p)
	{
		return acc::quantile(_values, acc::quantile_probability = _p);
	};
	return {{"count", acc::count(_values)}, {"meanMs", acc::mean(_values)}, {"p50Ms", quantile(0.50)},
			{"p95Ms", quantile(0.95)},      {"p99Ms", quantile(0.99)},      {"maxMs", acc::max(_values)}};
}

/// Runs one load test on an event loop of its own.
class Load
{
public:
	explicit Load(LoadOptions _options)
		: m_options(std::move(_options)), m_random(m_options.seed),
		  m_totalLatency(acc::tag::tail<acc::right>::cache_size = kMaxRequests / 4),
		  m_firstByteLatency(acc::tag::tail<acc::right>::cache_size = kMaxRequests / 4),
		  m_client(m_loop,
				   HttpClientHandlers{[](std::uint64_t, unsigned) {},
									  [this](std::uint64_t _id, const std::string&) { onData(_id); },
									  [this](std::uint64_t _id, const HttpAnswer& _answer) { onEnd(_id, _answer); },
									  [this](std::uint64_t _id, HttpFault)
									  {
										  onFail(_id);
									  }})
	{
	}

	Json run()
	{
		m_loop.init();
		m_start = monotonicNow();
		m_sendUntil = m_start + static_cast<Micros>(m_options.seconds * static_cast<double>(kSecond));
		m_loop.post([this] { begin(); });
		m_ended.get_future().wait();
		m_loop.shutdown();
		const double durationSeconds = static_cast<double>(m_lastFinished - m_start) / static_cast<double>(kSecond);
		return {{"outcomes", m_outcomes},
				{"answersPerSecond", static_cast<double>(acc::count(m_totalLatency)) / durationSeconds},
				{"firstByte", summary(m_firstByteLatency)},
				{"whole", summary(m_totalLatency)}};
	}

private:
	void begin()
	{
		if (0.0 < m_options.rate)
		{
			sendNextArrival();
			return;
		}
		for (std::size_t ii = 0; ii < m_options.callers; ++ii)
		{
			send();
		}
	}

	void sendNextArrival()
	{
		if (monotonicNow() >= m_sendUntil || m_lastId >= kMaxRequests)
		{
			m_sendingEnded = true;
			endIfDone();
			return;
		}
		send();
		std::exponential_distribution<double> interarrivalSeconds(m_options.rate);
		m_nextArrivalSeconds += interarrivalSeconds(m_random);
		const Micros due = m_start + static_cast<Micros>(m_nextArrivalSeconds * static_cast<double>(kSecond));
		m_loop.after(std::max<Micros>(0, due - monotonicNow()), [this] { sendNextArrival(); });
	}

	void send()
	{
		HttpCall call;
		call.id = ++m_lastId;
		call.address = m_options.targets[m_lastId % m_options.targets.size()];
		call.target = m_options.path;
		call.timeout = 60 * kSecond;
		call.headers = {{"Authorization", "Bearer " + m_options.token}, {"Content-Type", "application/json"}};
		call.incremental = true;
		call.body = "{}";
		if (!m_options.model.empty())
		{
			call.body = Json{
				{"model", m_options.model},
				{"prompt", "request " + std::to_string(m_lastId)},
				{"max_tokens", m_options.maxTokens},
				{"stream",
				 true}}.dump();
		}
		m_pending.emplace(call.id, PendingRequest{monotonicNow(), false});
		m_client.start(std::move(call));
	}

	void onData(std::uint64_t _id)
	{
		PendingRequest& pending = m_pending.at(_id);
		if (!pending.firstByteSeen)
		{
			pending.firstByteSeen = true;
			m_firstByteLatency(static_cast<double>(monotonicNow() - pending.sentAt) / kMillisecond);
		}
	}

	void onEnd(std::uint64_t _id, const HttpAnswer& _answer)
	{
		m_totalLatency(static_cast<double>(monotonicNow() - m_pending.at(_id).sentAt) / kMillisecond);
		std::string outcome(findHeader(_answer.headers, "Beacongate-Outcome"));
		finish(_id, std::to_string(_answer.status) + (outcome.empty() ? "" : " " + outcome));
	}

	void onFail(std::uint64_t _id)
	{
		finish(_id, "failed");
	}

	void finish(std::uint64_t _id, const std::string& _outcome)
	{
		m_pending.erase(_id);
		m_outcomes[_outcome] += 1;
		m_lastFinished = monotonicNow();
		const bool closedLoop = 0.0 == m_options.rate;
		if (closedLoop && m_lastFinished < m_sendUntil && m_lastId < kMaxRequests)
		{
			send();
			return;
		}
		m_sendingEnded = m_sendingEnded || closedLoop;
		endIfDone();
	}

	void endIfDone()
	{
		if (m_sendingEnded && m_pending.empty() && !m_endReported)
		{
			m_endReported = true;
			m_ended.set_value();
		}
	}

	/// A request whose response is not complete yet.
	struct PendingRequest
	{
		Micros sentAt = 0;
		bool firstByteSeen = false;
	};

	LoadOptions m_options;
	std::mt19937_64 m_random;
	IoLoop m_loop;
	Quantiles m_totalLatency;
	Quantiles m_firstByteLatency;
	std::map<std::string, std::uint64_t> m_outcomes;
	std::unordered_map<std::uint64_t, PendingRequest> m_pending;
	std::uint64_t m_lastId = 0;
	double m_nextArrivalSeconds = 0.0;
	Micros m_start = 0;
	Micros m_sendUntil = 0;
	Micros m_lastFinished = 0;
	bool m_sendingEnded = false;
	bool m_endReported = false;
	std::promise<void> m_ended;
	HttpClient m_client;
};
} // namespace

int main(int _argc, char** _argv)
{
	CLI::App app("Sends load to entries and prints outcomes and latencies as JSON.", "beacongate-load");
	LoadOptions options;
	std::vector<std::string> targets;
	app.add_option("--target", targets, "Address of an entry, on the loopback")->required();
	app.add_option("--path", options.path, "Path of the plain calls or of the model endpoint");
	app.add_option("--token", options.token, "Bearer token");
	app.add_option("--model", options.model, "Model; without it, plain calls are sent");
	app.add_option("--max-tokens", options.maxTokens, "Maximum number of tokens of an answer")
		->check(CLI::Range(1, 4096));
	app.add_option(
		"--rate", options.rate,
		"Poisson arrivals per second; without it, each caller waits for its answer before it sends again");
	app.add_option("--callers", options.callers, "Number of callers of the closed loop")
		->check(CLI::Range(1, 10000));
	app.add_option("--seconds", options.seconds, "Duration of the run in seconds")
		->check(CLI::Range(0.1, kMaxDurationSeconds));
	app.add_option("--seed", options.seed, "Random seed of the arrival times");
	CLI11_PARSE(app, _argc, _argv);
	try
	{
		for (const std::string& target : targets)
		{
			options.targets.push_back(readAddress(target, "--target", Failure::SettingInvalid));
			if (!options.targets.back().host.starts_with("127."))
			{
				throw Error(Failure::SettingInvalid, "--target: only addresses in 127.0.0.0/8 are accepted");
			}
		}
		Load load(options);
		std::cout << load.run().dump(2) << '\n';
	}
	catch (const Error& error)
	{
		std::cerr << "beacongate-load: " << error.what() << '\n';
		return kExitSettings;
	}
	return kExitOk;
}
