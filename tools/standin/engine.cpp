// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/engine.h"

#include "standin/base.h"

#include "coordination/cost.h"

#include <algorithm>
#include <xxhash.h>

namespace beacongate::standin
{
namespace
{
constexpr std::uint64_t kVocabularySize = 997;
} // namespace

std::string engineToken(std::string_view _prompt, std::uint64_t _offset)
{
	const std::uint64_t hash = XXH64(_prompt.data(), _prompt.size(), _offset);
	return " w" + std::to_string(hash % kVocabularySize);
}

Engine::Engine(IoLoop& _loop, EngineOptions _options)
	: m_loop(_loop), m_options(_options),
	  m_server(_loop,
			   HttpServerHandlers{[this](ExchangeId _id, HttpRequest&& _request)
								  { onRequest(_id, std::move(_request)); },
								  [this](ExchangeId _id) { onDisconnected(_id); },
								  [](Failure _failure, const std::string& _detail)
								  {
									  return HttpAnswer{failureInfo(_failure).status, {}, _detail};
								  }},
			   kBodyBytes)
{
}

void Engine::init(const Address& _address)
{
	m_server.init(_address);
}

std::uint16_t Engine::port() const
{
	return m_server.port();
}

void Engine::onRequest(ExchangeId _exchange, HttpRequest&& _request)
{
	if ("/load" == _request.target)
	{
		m_server.send(_exchange, load());
		return;
	}
	if ("/standin" == _request.target)
	{
		control(_request.body);
		m_server.send(_exchange, stats());
		return;
	}
	if (m_refusing)
	{
		m_server.send(_exchange, HttpAnswer{503, {}, "refusing\n"});
		return;
	}
	try
	{
		accept(_exchange, _request);
	}
	catch (const Error& error)
	{
		m_server.send(_exchange, HttpAnswer{400, {}, problem(error.failure(), error.what(), "engine").dump()});
	}
}

void Engine::accept(ExchangeId _exchange, const HttpRequest& _request)
{
	const bool chat = "/v1/chat/completions" == _request.target;
	const ModelCall call = readModelCall(chat ? OpenAiEndpoint::Chat : OpenAiEndpoint::Completions, _request.body);
	const Json body = Json::parse(_request.body);
	Sequence sequence;
	sequence.exchange = _exchange;
	sequence.model = call.model;
	sequence.prompt = call.payload.prompt;
	sequence.priority = body.value("priority", 0);
	sequence.next = body.value("beacongate_resume", Json::array()).size();
	sequence.target = call.payload.maxTokens;
	const BlockChain chain = blockChain(call.payload.prompt);
	const std::uint64_t prompt = tokensOfBytes(call.payload.prompt.size()) + sequence.next;
	const std::uint64_t cached = tokensOfBytes(m_cache.match(chain) * limits::kPrefixBlockBytes);
	sequence.prefillLeft = prompt - std::min(prompt, cached);
	m_cached += std::min(prompt, cached);
	m_cache.insert(chain);
	m_sequences.push_back(std::move(sequence));
	m_server.startStream(_exchange, 200, {{"Content-Type", "text/event-stream"}});
	schedule();
}

void Engine::onDisconnected(ExchangeId _exchange)
{
	const std::size_t before = m_sequences.size();
	std::erase_if(m_sequences, [&](const Sequence& _sequence) { return _sequence.exchange == _exchange; });
	m_cancelled += before - m_sequences.size();
}

void Engine::control(const std::string& _body)
{
	const Json json = Json::parse(_body, nullptr, false);
	if (json.is_object())
	{
		m_refusing = json.value("refuse", m_refusing);
		m_cutAfter = json.value("cutAfter", m_cutAfter);
	}
}

HttpAnswer Engine::stats() const
{
	const Json json{{"prefilled", m_prefilled},
					{"cached", m_cached},
					{"decoded", m_decoded},
					{"cancelled", m_cancelled},
					{"running", m_sequences.size()}};
	return jsonAnswer(json.dump());
}

HttpAnswer Engine::load() const
{
	std::uint64_t queued = 0;
	for (const Sequence& sequence : m_sequences)
	{
		queued += sequence.prefillLeft;
	}
	const Json json{{"queuedTokens", queued}, {"running", m_sequences.size()}};
	return jsonAnswer(json.dump());
}

void Engine::schedule()
{
	if (!m_scheduled && !m_sequences.empty())
	{
		m_scheduled = true;
		m_loop.after(m_options.step, [this] { step(); });
	}
}

void Engine::admit()
{
	const auto admitted = [](const Sequence& _sequence)
	{
		return _sequence.admitted;
	};
	std::size_t running = static_cast<std::size_t>(std::count_if(m_sequences.begin(), m_sequences.end(), admitted));
	while (running < m_options.batch)
	{
		Sequence* best = nullptr;
		for (Sequence& sequence : m_sequences)
		{
			if (!sequence.admitted && (nullptr == best || sequence.priority > best->priority))
			{
				best = &sequence;
			}
		}
		if (nullptr == best)
		{
			return;
		}
		best->admitted = true;
		++running;
	}
}

void Engine::step()
{
	m_scheduled = false;
	admit();
	std::uint64_t prefillBudget = m_options.prefillPerStep;
	std::erase_if(m_sequences,
				  [&](Sequence& _sequence) { return _sequence.admitted && advance(_sequence, prefillBudget); });
	schedule();
}

bool Engine::advance(Sequence& _sequence, std::uint64_t& _prefillBudget)
{
	const std::uint64_t computed = std::min(_prefillBudget, _sequence.prefillLeft);
	_prefillBudget -= computed;
	_sequence.prefillLeft -= computed;
	m_prefilled += computed;
	if (0 < _sequence.prefillLeft)
	{
		return false;
	}
	if (_sequence.next < _sequence.target)
	{
		m_server.sendChunk(_sequence.exchange,
						   tokenEvent(OpenAiEndpoint::Completions, _sequence.model, "engine", _sequence.next,
									  engineToken(_sequence.prompt, _sequence.next)));
		_sequence.next += 1;
		m_decoded += 1;
	}
	if (0 < m_cutAfter && 0 == --m_cutAfter)
	{
		m_server.abortAnswer(_sequence.exchange);
		return true;
	}
	if (_sequence.next < _sequence.target)
	{
		return false;
	}
	m_server.sendChunk(_sequence.exchange,
					   endEvents(OpenAiEndpoint::Completions, _sequence.model, "engine", 0, _sequence.next));
	m_server.endStream(_sequence.exchange, {});
	return true;
}

} // namespace beacongate::standin
