// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "daemon/backendadapter.h"

#include "beacongate/limits.h"
#include "protocol/json.h"

#include <utility>

namespace beacongate
{
namespace
{
constexpr unsigned kOk = 200;
constexpr unsigned kFirstServerError = 500;
constexpr std::size_t kErrorBodyBytes = 64u << 10;
/// Calls with this number or above request load reports; the numbers of attempts stay far below.
constexpr std::uint64_t kFirstLoadCall = std::uint64_t{1} << 62;
constexpr Micros kLoadTimeout = 1 * kSecond;
/// Header of a backend server's answer which says that it has not accepted the request.
constexpr std::string_view kNotAcceptedHeader = "Beacongate-Not-Taken";
} // namespace

BackendAdapter::BackendAdapter(IoLoop& _loop, std::function<bool(Event)> _submit)
	: m_submit(std::move(_submit)),
	  m_client(_loop,
			   HttpClientHandlers{[this](std::uint64_t _id, unsigned _status)
								  {
									  const auto it = m_attempts.find(_id);
									  if (m_attempts.end() != it)
									  {
										  it->second.status = _status;
									  }
								  },
								  [this](std::uint64_t _id, const std::string& _bytes) { onData(_id, _bytes); },
								  [this](std::uint64_t _id, HttpAnswer _answer) { onEnd(_id, _answer); },
								  [this](std::uint64_t _id, HttpFault _fault)
								  {
									  onFail(_id, _fault);
								  }}),
	  m_nextLoadCall(kFirstLoadCall)
{
}

void BackendAdapter::apply(Action& _action, Micros _now)
{
	if (const StartAttempt* startAttempt = std::get_if<StartAttempt>(&_action))
	{
		start(*startAttempt, _now);
		return;
	}
	if (const CancelAttempt* cancelAttempt = std::get_if<CancelAttempt>(&_action))
	{
		m_attempts.erase(cancelAttempt->attempt);
		m_client.cancel(cancelAttempt->attempt);
	}
}

void BackendAdapter::start(const StartAttempt& _start, Micros _now)
{
	const CallPayload& payload = *_start.payload;
	Attempt attempt;
	attempt.model = ServiceKind::Model == payload.kind;
	attempt.nextOffset = nullptr == _start.delivered ? 0 : _start.delivered->size();
	HttpCall call;
	call.id = _start.attempt;
	call.address = _start.address;
	call.method = payload.method;
	call.target = payload.path;
	call.body = attempt.model ? backendBody(payload, _start.delivered.get(), _start.priority) : payload.body;
	call.ownConnection = !_start.repeatable;
	call.incremental = attempt.model;
	call.bodyLimit = attempt.model ? 0 : limits::kAnswerBodyBytes;
	call.timeout = std::max<Micros>(_start.deadline - _now, 1);
	if (!payload.contentType.empty())
	{
		call.headers.emplace_back("Content-Type", payload.contentType);
	}
	if (!payload.idempotencyKey.empty())
	{
		call.headers.emplace_back("Idempotency-Key", payload.idempotencyKey);
	}
	m_attempts.emplace(_start.attempt, std::move(attempt));
	m_client.start(std::move(call));
}

void BackendAdapter::onData(AttemptId _id, const std::string& _bytes)
{
	const auto it = m_attempts.find(_id);
	if (m_attempts.end() == it)
	{
		return;
	}
	Attempt& attempt = it->second;
	if (kOk != attempt.status)
	{
		attempt.errorBody.append(_bytes, 0, kErrorBodyBytes - std::min(kErrorBodyBytes, attempt.errorBody.size()));
		return;
	}
	try
	{
		readEvents(_id, attempt, _bytes);
	}
	catch (const Error&)
	{
		m_client.cancel(_id);
		fail(_id, AttemptFault::Broken);
	}
}

void BackendAdapter::readEvents(AttemptId _id, Attempt& _attempt, const std::string& _bytes)
{
	AttemptTokens tokens;
	tokens.attempt = _id;
	tokens.offset = _attempt.nextOffset;
	bool ended = false;
	for (const SseEvent& event : _attempt.reader.feed(_bytes))
	{
		const ModelChunk chunk = readChunk(event);
		ended = ended || chunk.end;
		if (!chunk.token.has_value() || ended)
		{
			continue;
		}
		const std::uint64_t offset = chunk.offset.value_or(_attempt.nextOffset);
		if (offset != tokens.offset + tokens.tokens.size())
		{
			// The chunk is out of order: tokens with consecutive offsets are submitted together, and the core
			// checks the offset of each group.
			submit(_id, std::exchange(tokens, AttemptTokens{_id, offset, {}}));
		}
		tokens.tokens.push_back(*chunk.token);
		_attempt.nextOffset = offset + 1;
	}
	if (!tokens.tokens.empty())
	{
		submit(_id, std::move(tokens));
	}
	if (ended && m_attempts.contains(_id))
	{
		// Data after the terminal event is ignored; the connection is not closed here.
		const std::uint64_t count = _attempt.nextOffset;
		m_attempts.erase(_id);
		if (!m_submit(AttemptDone{_id, kOk, {}, {}, count}))
		{
			fail(_id, AttemptFault::Broken);
		}
	}
}

void BackendAdapter::onEnd(AttemptId _id, HttpAnswer& _answer)
{
	if (_id >= kFirstLoadCall)
	{
		onLoad(_id, _answer);
		return;
	}
	const auto it = m_attempts.find(_id);
	if (m_attempts.end() == it)
	{
		return;
	}
	if (!findHeader(_answer.headers, kNotAcceptedHeader).empty())
	{
		fail(_id, AttemptFault::NotAccepted);
		return;
	}
	const Attempt& attempt = it->second;
	if (!attempt.model)
	{
		const std::string type(findHeader(_answer.headers, "Content-Type"));
		submit(_id, AttemptDone{_id, _answer.status, type, std::move(_answer.body), 0});
		m_attempts.erase(_id);
		return;
	}
	const bool refused = kOk != attempt.status && attempt.status < kFirstServerError;
	// A stream that ends without its terminal event is not a valid answer.
	fail(_id, refused ? AttemptFault::Refused : AttemptFault::Broken, attempt.status, attempt.errorBody);
}

void BackendAdapter::onFail(AttemptId _id, HttpFault _fault)
{
	if (_id >= kFirstLoadCall)
	{
		m_loadCalls.erase(_id);
		return;
	}
	fail(_id, HttpFault::NotSent == _fault ? AttemptFault::NotSent : AttemptFault::Broken);
}

void BackendAdapter::fail(AttemptId _id, AttemptFault _fault, unsigned _status, std::string _body)
{
	m_attempts.erase(_id);
	AttemptFailed failed{_id, _fault, _status, std::move(_body)};
	if (!m_submit(failed))
	{
		m_unsubmitted.push_back(std::move(failed));
	}
}

void BackendAdapter::submit(AttemptId _id, Event _event)
{
	if (!m_attempts.contains(_id) || m_submit(std::move(_event)))
	{
		return;
	}
	// No event of an attempt may be skipped, so an attempt whose event does not fit into the ring fails.
	m_client.cancel(_id);
	fail(_id, AttemptFault::Broken);
}

void BackendAdapter::retrySubmits()
{
	while (!m_unsubmitted.empty() && m_submit(m_unsubmitted.front()))
	{
		m_unsubmitted.pop_front();
	}
}

void BackendAdapter::pollLoad(const std::vector<std::pair<std::string, Address>>& _backends)
{
	for (const auto& [id, address] : _backends)
	{
		HttpCall call;
		call.id = m_nextLoadCall++;
		call.address = address;
		call.method = "GET";
		call.target = "/load";
		call.timeout = kLoadTimeout;
		m_loadCalls.emplace(call.id, id);
		m_client.start(std::move(call));
	}
}

void BackendAdapter::onLoad(std::uint64_t _call, const HttpAnswer& _answer)
{
	const auto node = m_loadCalls.extract(_call);
	const Json json = Json::parse(_answer.body, nullptr, false);
	if (node.empty() || kOk != _answer.status || !json.is_object())
	{
		return;
	}
	BackendReported reported;
	reported.backend = node.mapped();
	try
	{
		reported.report.queuedTokens = json.value("queuedTokens", std::uint64_t{0});
		reported.report.running = json.value("running", std::uint32_t{0});
		reported.evicted = json.value("evicted", BlockChain{});
	}
	catch (const Json::exception&)
	{
		return; // A malformed report is ignored.
	}
	m_submit(std::move(reported));
}

} // namespace beacongate
