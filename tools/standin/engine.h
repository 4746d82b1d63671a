// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Stand-in for a model engine, for tests only. It has continuous batching in steps, a bounded prefix cache,
/// priorities, resume and cancel.

#ifndef BEACONGATE_TOOLS_STANDIN_ENGINE_H
#define BEACONGATE_TOOLS_STANDIN_ENGINE_H

#include "protocol/openai.h"
#include "state/prefixindex.h"
#include "transport/httpserver.h"

#include <list>
#include <memory>
#include <string>

namespace beacongate::standin
{
/// Cost model of the engine.
struct EngineOptions
{
	Micros step = 5 * kMillisecond;     ///< Duration of one batch step.
	std::uint64_t prefillPerStep = 512; ///< Prompt tokens prefilled per step.
	std::size_t batch = 16;             ///< Maximum number of requests in the batch.
};

/// @returns the token at an offset of the answer to a prompt. All engines return the same token, so that a stream
/// can be resumed on another engine.
std::string engineToken(std::string_view _prompt, std::uint64_t _offset);

/// Serves the OpenAI-compatible API of a simulated engine on an event loop.
class Engine
{
public:
	Engine(IoLoop& _loop, EngineOptions _options);

	/// Binds the listening socket. Must be called before the loop's init().
	void init(const Address& _address);
	std::uint16_t port() const;

private:
	struct Sequence
	{
		ExchangeId exchange = 0;
		std::string model;
		std::string prompt;
		int priority = 0;
		std::uint64_t prefillLeft = 0;
		std::uint64_t next = 0; ///< Offset of the next token.
		std::uint64_t target = 0;
		bool admitted = false;
	};

	void onRequest(ExchangeId _exchange, HttpRequest&& _request);
	void onDisconnected(ExchangeId _exchange);
	void accept(ExchangeId _exchange, const HttpRequest& _request);
	void control(const std::string& _body);
	HttpAnswer stats() const;
	HttpAnswer load() const;
	void admit();
	void step();
	void schedule();
	bool advance(Sequence& _sequence, std::uint64_t& _prefillBudget);

	IoLoop& m_loop;
	EngineOptions m_options;
	HttpServer m_server;
	std::list<Sequence> m_sequences;
	PrefixIndex m_cache;
	bool m_scheduled = false;
	bool m_refusing = false;
	std::uint64_t m_cutAfter = 0; ///< Steps of sequences until one stream is cut; 0 is never.
	std::uint64_t m_prefilled = 0;
	std::uint64_t m_cached = 0;
	std::uint64_t m_decoded = 0;
	std::uint64_t m_cancelled = 0;
};

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_ENGINE_H
