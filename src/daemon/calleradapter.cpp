// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/calleradapter.h"

#include "beacongate/limits.h"
#include "protocol/statedump.h"

#include <charconv>
#include <utility>

namespace beacongate
{
namespace
{
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kServicePrefix = "/services/";
constexpr Failure kMalformed = Failure::MalformedRequest;
constexpr int kMaxPriority = 9;

/// Reads a header that holds a number; a missing header counts as 0.
/// @throws Error MalformedRequest where the value is not a number or exceeds `_max`.
std::uint64_t numberHeader(const HttpRequest& _request, std::string_view _name, std::uint64_t _max)
{
	const std::string_view text = findHeader(_request.headers, _name);
	if (text.empty())
	{
		return 0;
	}
	std::uint64_t value = 0;
	const char* last = text.data() + text.size();
	const auto [end, error] = std::from_chars(text.data(), last, value);
	if (std::errc{} != error || last != end || value > _max)
	{
		throw Error(kMalformed, std::string(_name) + ": has to be a number from 0 to " + std::to_string(_max));
	}
	return value;
}

std::string readKey(const HttpRequest& _request)
{
	const std::string_view key = findHeader(_request.headers, "Idempotency-Key");
	const auto isPrintable = [](char _c)
	{
		return '!' <= _c && _c <= '~';
	};
	if (key.size() > limits::kKeyBytes || !std::all_of(key.begin(), key.end(), isPrintable))
	{
		throw Error(Failure::KeyInvalid,
					"Idempotency-Key: has to be at most 128 printable characters without spaces");
	}
	return std::string(key);
}

std::string readToken(const HttpRequest& _request)
{
	const std::string_view value = findHeader(_request.headers, "Authorization");
	if (!value.starts_with(kBearerPrefix))
	{
		throw Error(Failure::UnknownToken, "Authorization: a bearer token is required");
	}
	return std::string(value.substr(kBearerPrefix.size()));
}

/// Reads the headers that model requests and plain requests have in common.
void readCommon(const HttpRequest& _request, CallerRequest& _event)
{
	constexpr std::uint64_t kMaxDeadlineMs = limits::kMaxDeadline / kMillisecond;
	_event.token = readToken(_request);
	_event.key = readKey(_request);
	_event.deadline =
		static_cast<Micros>(numberHeader(_request, "Beacongate-Deadline-Ms", kMaxDeadlineMs)) * kMillisecond;
	_event.priority = static_cast<int>(numberHeader(_request, "Beacongate-Priority", kMaxPriority));
	_event.issuedVersion = numberHeader(_request, "Beacongate-Issued-Version", ~0ull);
}
} // namespace

CallerAdapter::CallerAdapter(EntryRef _self, const EntryStatus& _entryStatus, std::function<bool(Event)> _submit)
	: m_self(std::move(_self)), m_entryStatus(_entryStatus), m_submit(std::move(_submit))
{
}

void CallerAdapter::setServer(HttpServer& _server)
{
	m_server = &_server;
}

void CallerAdapter::onRequest(ExchangeId _exchange, HttpRequest&& _request)
{
	if ("GET" == _request.method && "/health" == _request.target)
	{
		const bool healthy = m_entryStatus.healthy;
		m_server->send(_exchange, HttpAnswer{healthy ? 200u : 503u, {}, healthy ? "ok\n" : "stopping\n"});
		return;
	}
	Exchange exchange;
	const std::string name = requestName(m_self, _exchange);
	try
	{
		CallerRequest event;
		if ("/v1/chat/completions" == _request.target || "/v1/completions" == _request.target)
		{
			const bool chat = "/v1/chat/completions" == _request.target;
			event = readModel(chat ? OpenAiEndpoint::Chat : OpenAiEndpoint::Completions, _request, exchange);
		}
		else if (_request.target.starts_with(kServicePrefix))
		{
			event = readPlain(_request);
		}
		else
		{
			throw Error(Failure::UnknownService, "nothing is served at " + _request.target);
		}
		event.exchange = _exchange;
		m_exchanges[_exchange] = std::move(exchange);
		if (!m_submit(std::move(event)))
		{
			throw Error(Failure::Overloaded, "this entry is overloaded");
		}
	}
	catch (const Error& error)
	{
		m_exchanges.erase(_exchange);
		const Micros retryAfter = Failure::Overloaded == error.failure() ? limits::kRetryAfterMin : 0;
		m_server->send(_exchange, failureAnswer(error.failure(), Outcome::NotRun, error.what(), retryAfter, name));
	}
}

CallerRequest CallerAdapter::readModel(OpenAiEndpoint _endpoint, const HttpRequest& _request,
									   Exchange& _exchange) const
{
	if ("POST" != _request.method)
	{
		throw Error(kMalformed, "method: has to be POST");
	}
	ModelCall call = readModelCall(_endpoint, _request.body);
	CallerRequest event;
	readCommon(_request, event);
	const std::string_view lastEvent = findHeader(_request.headers, "Last-Event-ID");
	event.resumeOffset = lastEvent.empty() ? 0 : numberHeader(_request, "Last-Event-ID", 1u << 30) + 1;
	event.service = call.model;
	call.payload.idempotencyKey = event.key;
	event.payload = std::make_shared<const CallPayload>(std::move(call.payload));
	_exchange.model = true;
	_exchange.stream = call.stream;
	_exchange.endpoint = _endpoint;
	_exchange.modelName = call.model;
	return event;
}

CallerRequest CallerAdapter::readPlain(const HttpRequest& _request) const
{
	const std::string rest = _request.target.substr(kServicePrefix.size());
	const std::size_t slash = std::min(rest.find('/'), rest.size());
	CallerRequest event;
	readCommon(_request, event);
	event.service = rest.substr(0, slash);
	CallPayload payload;
	payload.method = _request.method;
	payload.path = slash == rest.size() ? "/" : rest.substr(slash);
	payload.contentType = std::string(findHeader(_request.headers, "Content-Type"));
	payload.body = _request.body;
	payload.idempotencyKey = event.key;
	event.payload = std::make_shared<const CallPayload>(std::move(payload));
	return event;
}

void CallerAdapter::onDisconnected(ExchangeId _exchange)
{
	if (0 != m_exchanges.erase(_exchange))
	{
		// If the ring is full, the event is lost and the request runs until it completes.
		m_submit(CallerGone{_exchange});
	}
}

HttpAnswer CallerAdapter::onMalformed(Failure _failure, const std::string& _detail) const
{
	return failureAnswer(_failure, Outcome::NotRun, _detail, 0, m_self.id);
}

void CallerAdapter::apply(Action& _action)
{
	std::visit(
		[this](auto& _item)
		{
			if constexpr (requires { this->on(_item); })
			{
				on(_item);
			}
		},
		_action);
}

HttpHeaders CallerAdapter::commonHeaders(const std::string& _name) const
{
	return {{"Beacongate-Request-Id", _name},
			{"Beacongate-Roster-Version", std::to_string(m_entryStatus.rosterVersion)}};
}

void CallerAdapter::startStream(ExchangeId _id, Exchange& _exchange)
{
	if (_exchange.started)
	{
		return;
	}
	_exchange.started = true;
	HttpHeaders headers = commonHeaders(requestName(m_self, _id));
	headers.emplace_back("Content-Type", "text/event-stream");
	headers.emplace_back("Cache-Control", "no-store");
	headers.emplace_back("Trailer", "Beacongate-Outcome");
	m_server->startStream(_id, 200, std::move(headers));
}

void CallerAdapter::on(AnswerTokens& _action)
{
	const auto it = m_exchanges.find(_action.exchange);
	if (m_exchanges.end() == it)
	{
		return;
	}
	Exchange& exchange = it->second;
	if (!exchange.stream)
	{
		for (const std::string& token : _action.tokens)
		{
			exchange.text += token;
		}
		return;
	}
	startStream(_action.exchange, exchange);
	const std::string name = requestName(m_self, _action.exchange);
	std::string events;
	std::uint64_t offset = _action.offset;
	for (const std::string& token : _action.tokens)
	{
		events += tokenEvent(exchange.endpoint, exchange.modelName, name, offset, token);
		++offset;
	}
	m_server->sendChunk(_action.exchange, std::move(events));
}

void CallerAdapter::on(AnswerEnd& _action)
{
	const auto it = m_exchanges.find(_action.exchange);
	if (m_exchanges.end() == it)
	{
		return;
	}
	Exchange exchange = std::move(it->second);
	m_exchanges.erase(it);
	const std::string name = requestName(m_self, _action.exchange);
	const HttpHeaders outcome{{"Beacongate-Outcome", std::string(toString(Outcome::Done))}};
	if (exchange.stream)
	{
		startStream(_action.exchange, exchange);
		m_server->sendChunk(_action.exchange, endEvents(exchange.endpoint, exchange.modelName, name,
														_action.promptTokens, _action.completionTokens));
		m_server->endStream(_action.exchange, outcome);
		return;
	}
	HttpAnswer answer;
	answer.headers = commonHeaders(name);
	answer.headers.push_back(outcome.front());
	answer.headers.emplace_back("Content-Type", "application/json");
	answer.body = completionBody(exchange.endpoint, exchange.modelName, name, exchange.text, _action.promptTokens,
								 _action.completionTokens);
	m_server->send(_action.exchange, std::move(answer));
}

void CallerAdapter::on(AnswerWhole& _action)
{
	m_exchanges.erase(_action.exchange);
	HttpAnswer answer;
	answer.status = _action.status;
	answer.headers = commonHeaders(requestName(m_self, _action.exchange));
	answer.headers.emplace_back("Beacongate-Outcome", toString(Outcome::Done));
	if (!_action.contentType.empty())
	{
		answer.headers.emplace_back("Content-Type", _action.contentType);
	}
	answer.body = std::move(_action.body);
	m_server->send(_action.exchange, std::move(answer));
}

void CallerAdapter::on(AnswerMoved& _action)
{
	const auto it = m_exchanges.find(_action.exchange);
	if (m_exchanges.end() == it)
	{
		return;
	}
	const bool started = it->second.started;
	m_exchanges.erase(it);
	const std::string name = requestName(m_self, _action.exchange);
	Json body = problem(Failure::Moved, "another entry continues this request; repeat it with this key", name);
	body["key"] = _action.key;
	body["offset"] = _action.offset;
	if (started)
	{
		// There is neither a terminal event nor an outcome, because another entry continues the answer.
		m_server->sendChunk(_action.exchange, errorEvent(body));
		m_server->endStream(_action.exchange, {});
		return;
	}
	HttpAnswer answer;
	answer.status = failureInfo(Failure::Moved).status;
	answer.headers = commonHeaders(name);
	answer.headers.emplace_back("Content-Type", "application/problem+json");
	answer.headers.emplace_back("Beacongate-Outcome", toString(Outcome::Unknown));
	answer.headers.emplace_back("Retry-After", "0");
	answer.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
	m_server->send(_action.exchange, std::move(answer));
}

void CallerAdapter::on(AnswerFailure& _action)
{
	const auto it = m_exchanges.find(_action.exchange);
	const bool started = m_exchanges.end() != it && it->second.started;
	m_exchanges.erase(_action.exchange);
	const std::string name = requestName(m_self, _action.exchange);
	if (!started)
	{
		m_server->send(_action.exchange,
					   failureAnswer(_action.failure, _action.outcome, _action.detail, _action.retryAfter, name));
		return;
	}
	Json body = problem(_action.failure, _action.detail, name);
	body["outcome"] = toString(_action.outcome);
	m_server->sendChunk(_action.exchange, errorEvent(body));
	m_server->endStream(_action.exchange, {{"Beacongate-Outcome", std::string(toString(_action.outcome))}});
}

HttpAnswer CallerAdapter::failureAnswer(Failure _failure, Outcome _outcome, const std::string& _detail,
										Micros _retryAfter, const std::string& _name) const
{
	HttpAnswer answer;
	answer.status = failureInfo(_failure).status;
	answer.headers = commonHeaders(_name);
	answer.headers.emplace_back("Content-Type", "application/problem+json");
	answer.headers.emplace_back("Beacongate-Outcome", toString(_outcome));
	if (0 < _retryAfter)
	{
		answer.headers.emplace_back("Retry-After", std::to_string((_retryAfter + kSecond - 1) / kSecond));
	}
	Json body = problem(_failure, _detail, _name);
	body["outcome"] = toString(_outcome);
	answer.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
	return answer;
}

} // namespace beacongate
