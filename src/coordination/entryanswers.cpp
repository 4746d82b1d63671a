// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Answers of EntryCore: delivery to callers and other entries, and kept answers.

#include "coordination/entrycore.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beacongate
{
void EntryCore::deliver(Request& _request)
{
	for (Subscriber& subscriber : _request.subscribers)
	{
		if (subscriber.next >= _request.tokens.size())
		{
			continue;
		}
		std::vector<std::string> tokens = _request.tokens.from(subscriber.next);
		const std::uint64_t offset = subscriber.next;
		subscriber.next = _request.tokens.size();
		if (0 != subscriber.exchange)
		{
			m_out->push_back(AnswerTokens{subscriber.exchange, offset, std::move(tokens)});
			continue;
		}
		sendPeer(subscriber.peer, AttachTokens{subscriber.attach, offset, std::move(tokens)});
	}
}

void EntryCore::finishModel(Request& _request)
{
	KeptAnswer answer;
	answer.model = true;
	_request.answer = std::move(answer);
	conclude(_request, ExecutionResult::Done);
}

void EntryCore::finishPlain(Request& _request, AttemptDone& _event)
{
	KeptAnswer answer;
	answer.status = _event.status;
	answer.contentType = std::move(_event.contentType);
	answer.body = std::move(_event.body);
	_request.answer = std::move(answer);
	conclude(_request, ExecutionResult::Done);
}

void EntryCore::fail(Request& _request, Failure _failure, Outcome _outcome, const std::string& _detail)
{
	if (0 != _request.attempt)
	{
		m_out->push_back(CancelAttempt{_request.attempt});
		detachAttempt(_request);
	}
	ServiceState& service = stateOf(_request.service);
	const bool mayRetry = Outcome::NotRun == _outcome || _request.repeatable;
	const Micros retryDelay = mayRetry ? retryAfter(service) : 0;
	service.queue.remove(_request.team, queueItem(_request));
	for (const Subscriber& subscriber : _request.subscribers)
	{
		if (0 != subscriber.exchange)
		{
			m_out->push_back(AnswerFailure{subscriber.exchange, _failure, _outcome, _detail, retryDelay});
		}
	}
	m_stats.notRun += Outcome::NotRun == _outcome ? 1 : 0;
	m_stats.unknown += Outcome::Unknown == _outcome ? 1 : 0;
	conclude(_request, Outcome::NotRun == _outcome ? ExecutionResult::NotStarted : ExecutionResult::Unknown);
}

void EntryCore::reject(ExchangeId _exchange, Failure _failure, const std::string& _detail, Micros _retryAfter)
{
	m_stats.notRun += 1;
	m_out->push_back(AnswerFailure{_exchange, _failure, failureInfo(_failure).outcome, _detail, _retryAfter});
}

void EntryCore::conclude(Request& _request, ExecutionResult _result)
{
	const bool keepsKey = _request.claimed || _request.handedOver;
	_request.phase = Phase::Finished;
	_request.result = _result;
	m_active -= 1;
	m_stats.done += ExecutionResult::Done == _result ? 1 : 0;
	recordDecision(_request, ExecutionResult::Done == _result ? DecisionKind::Finished : DecisionKind::GivenUp, {},
				   0, _request.tokens.size());
	for (const Subscriber& subscriber : _request.subscribers)
	{
		sendEnd(_request, subscriber);
		m_byExchange.erase(subscriber.exchange);
	}
	_request.subscribers.clear();
	m_byClaimNumber.erase(_request.claimNumber);
	m_byAttach.erase(_request.attach);
	m_endedDecisions.emplace_back(_request.id, _request.decisions);
	if (m_endedDecisions.size() > limits::kExplainedRequests)
	{
		m_endedDecisions.pop_front();
	}
	// A repeatable request whose result is unknown releases its key, since it may run again.
	const bool releasesKey =
		ExecutionResult::NotStarted == _result || (ExecutionResult::Unknown == _result && _request.repeatable);
	if (_request.claimed)
	{
		reportResult(_request, releasesKey ? ExecutionResult::NotStarted : _result);
	}
	if (!keepsKey || releasesKey)
	{
		erase(_request);
		return;
	}
	keepAnswer(_request);
}

void EntryCore::sendEnd(const Request& _request, const Subscriber& _subscriber)
{
	if (0 == _subscriber.exchange)
	{
		AttachEnd end;
		end.attach = _subscriber.attach;
		end.result = _request.result;
		end.kept = _request.answer.has_value();
		end.tokenCount = _request.tokens.size();
		if (end.kept)
		{
			end.answer = *_request.answer;
		}
		sendPeer(_subscriber.peer, std::move(end));
		return;
	}
	if (ExecutionResult::Done != _request.result)
	{
		return; // fail() has sent the answer.
	}
	if (_request.answer->model)
	{
		m_out->push_back(AnswerEnd{_subscriber.exchange, _request.promptTokens, _request.tokens.size()});
		return;
	}
	const KeptAnswer& answer = *_request.answer;
	m_out->push_back(AnswerWhole{_subscriber.exchange, answer.status, answer.contentType, answer.body});
}

void EntryCore::keepAnswer(Request& _request)
{
	_request.payload.reset();
	_request.chain.clear();
	const std::size_t bytes = _request.tokens.bytes() + (_request.answer ? _request.answer->body.size() : 0);
	if (bytes > limits::kKeptAnswerBytes)
	{
		_request.answer.reset();
		_request.tokens = TokenLog{};
	}
	else
	{
		m_keptBytes += bytes;
	}
	m_keptOrder.push_back(_request.id);
	while (!m_keptOrder.empty())
	{
		const auto it = m_requests.find(m_keptOrder.front());
		const bool known = m_requests.end() != it;
		const bool expired = known && m_now - it->second->arrived > limits::kClaimWindow;
		const bool overBudget = m_keptBytes > limits::kKeptAnswersBytes;
		if (known && !expired && !overBudget)
		{
			return;
		}
		m_keptOrder.pop_front();
		if (!known)
		{
			continue;
		}
		Request& oldest = *it->second;
		m_keptBytes -= oldest.tokens.bytes() + (oldest.answer ? oldest.answer->body.size() : 0);
		oldest.answer.reset();
		oldest.tokens = TokenLog{};
		if (expired)
		{
			erase(oldest);
		}
	}
}

void EntryCore::erase(Request& _request)
{
	const auto known = m_byKey.find(_request.key);
	if (m_byKey.end() != known && known->second == _request.id)
	{
		m_byKey.erase(known);
	}
	m_requests.erase(_request.id);
}

void EntryCore::subscribe(Request& _request, const Subscriber& _subscriber)
{
	if (0 != _subscriber.exchange)
	{
		m_byExchange[_subscriber.exchange] = _request.id;
	}
	_request.subscribers.push_back(_subscriber);
}

void EntryCore::on(const CallerGone& _event)
{
	const auto it = m_byExchange.find(_event.exchange);
	if (m_byExchange.end() == it)
	{
		return;
	}
	Request& request = *m_requests.at(it->second);
	m_byExchange.erase(it);
	std::erase_if(request.subscribers, [&](const Subscriber& _s) { return _s.exchange == _event.exchange; });
	// A claimed request continues, since the caller may reattach. A call that may not be repeated cannot be
	// undone once it was sent.
	const bool sent = Phase::Running == request.phase && !request.repeatable;
	if (request.subscribers.empty() && !request.claimed && !sent)
	{
		const ServiceHandle service = request.service;
		fail(request, Failure::DeadlinePassed, outcomeOf(request), "the caller is gone");
		dispatchQueued(service);
	}
}

void EntryCore::recordDecision(Request& _request, DecisionKind _kind, std::string _subject, std::uint64_t _weighed,
							   std::uint64_t _value)
{
	if (_request.decisions.size() < limits::kDecisionsPerRequest)
	{
		_request.decisions.push_back(Decision{m_now, _kind, std::move(_subject), _weighed, _value});
	}
}

Micros EntryCore::retryAfter(const ServiceState& _service) const
{
	if (0.0 == _service.drainRate)
	{
		return limits::kRetryAfterMin;
	}
	const double seconds = std::ceil(_service.queue.queuedCost() / _service.drainRate);
	const Micros span = static_cast<Micros>(seconds) * kSecond;
	return std::clamp(span, limits::kRetryAfterMin, limits::kRetryAfterMax);
}

EntryCore::ServiceState& EntryCore::stateOf(ServiceHandle _service)
{
	return m_services.at(_service.idx);
}

} // namespace beacongate
