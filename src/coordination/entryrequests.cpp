// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Requests of EntryCore: admission, queueing, dispatch, attempts and retries.

#include "coordination/cost.h"
#include "coordination/entrycore.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace beacongate
{
namespace
{
/// Backoff of a backend server after a failed attempt; doubled with each consecutive failure.
constexpr Micros kBackoffBase = 250 * kMillisecond;
constexpr unsigned kMaxBackoffDoublings = 5;
/// Assumed interval between tokens, to decide whether a stream can finish before its backend server leaves.
constexpr Micros kTokenInterval = 50 * kMillisecond;

std::uint64_t digestOf(const CallPayload& _payload)
{
	std::uint64_t hash = XXH64(_payload.method.data(), _payload.method.size(), 0);
	hash = XXH64(_payload.path.data(), _payload.path.size(), hash);
	return XXH64(_payload.body.data(), _payload.body.size(), hash);
}
} // namespace

void EntryCore::on(CallerRequest& _event)
{
	if (m_now >= m_acceptUntil)
	{
		reject(_event.exchange, Failure::Stopping, "this entry is stopping", limits::kRetryAfterMin);
		return;
	}
	if (0 == m_configVersion)
	{
		reject(_event.exchange, Failure::NoBackend, "no configuration has arrived yet", limits::kRetryAfterMin);
		return;
	}
	const TeamHandle team = m_catalog.findTeamByToken(_event.token);
	if (!isValid(team))
	{
		reject(_event.exchange, Failure::UnknownToken, "the bearer token names no team", 0);
		return;
	}
	const ServiceHandle service = m_catalog.findService(_event.service);
	const bool model = ServiceKind::Model == _event.payload->kind;
	if (!isValid(service) || m_catalog.at(service).config.kind != _event.payload->kind)
	{
		const Failure failure = model ? Failure::UnknownModel : Failure::UnknownService;
		reject(_event.exchange, failure, "no such service or model: " + _event.service, 0);
		return;
	}
	std::unique_ptr<Request> created = makeRequest(_event, team, service);
	Request& request = *created;
	m_requests.emplace(request.id, std::move(created));
	m_active += 1;
	m_stats.accepted += 1;
	m_deadlines.emplace(request.deadline, request.id);
	subscribe(request, Subscriber{_event.exchange, {}, 0, _event.resumeOffset});
	recordDecision(request, DecisionKind::Accepted, {}, 0, request.promptTokens);
	if (request.key.empty())
	{
		enqueue(request);
		return;
	}
	Request* executing = findByKey(request.key);
	if (nullptr != executing)
	{
		joinLocal(request, *executing);
		return;
	}
	requestClaim(request);
}

std::unique_ptr<Request> EntryCore::makeRequest(const CallerRequest& _event, TeamHandle _team,
												ServiceHandle _service)
{
	auto request = std::make_unique<Request>();
	request->id = _event.exchange;
	request->team = _team;
	request->service = _service;
	request->payload = _event.payload;
	request->issuedVersion = _event.issuedVersion;
	request->arrived = m_now;
	const Micros span = 0 == _event.deadline ? limits::kDefaultDeadline : _event.deadline;
	request->deadline = m_now + std::min(span, limits::kMaxDeadline);
	request->priority = _event.priority;
	request->repeatable = m_catalog.at(_service).config.repeatable;
	request->peerDeadline = std::min(request->deadline, m_now + limits::kClaimTimeout);
	request->callerKey = _event.key.empty() ? requestName(m_settings.self, _event.exchange) : _event.key;
	request->digest = digestOf(*_event.payload);
	estimateCost(*request);
	if (!_event.key.empty())
	{
		request->key = fullKey(_team, _service, _event.key);
	}
	return request;
}

void EntryCore::estimateCost(Request& _request)
{
	const CallPayload& payload = *_request.payload;
	_request.cost = kPlainCallCost;
	if (ServiceKind::Model == payload.kind)
	{
		_request.promptTokens = tokensOfBytes(payload.prompt.size());
		_request.cost = modelCost(_request.promptTokens, payload.maxTokens);
		_request.chain = blockChain(payload.prompt);
	}
}

std::string EntryCore::fullKey(TeamHandle _team, ServiceHandle _service, const std::string& _callerKey) const
{
	return m_catalog.at(_team).config.name + '/' + m_catalog.at(_service).config.name + '/' + _callerKey;
}

void EntryCore::enqueue(Request& _request)
{
	ServiceState& service = stateOf(_request.service);
	const TeamConfig& team = m_catalog.at(_request.team).config;
	if (service.queue.size(_request.team) >= team.maxQueued)
	{
		fail(_request, Failure::QueueFull, Outcome::NotRun, "the team's queue is full");
		return;
	}
	const auto& rows = m_backends.ofService(_request.service);
	const auto usable = [&](BackendHandle _handle)
	{
		return BackendTable::takesWork(m_backends.at(_handle), kNever);
	};
	if (std::none_of(rows.begin(), rows.end(), usable))
	{
		fail(_request, Failure::NoBackend, Outcome::NotRun, "no backend server takes work for this service");
		return;
	}
	if (0.0 < service.drainRate)
	{
		const double ahead = service.queue.costAhead(_request.team, team.weight) / service.drainRate;
		const double secondsLeft = static_cast<double>(_request.deadline - m_now) / static_cast<double>(kSecond);
		if (ahead > secondsLeft)
		{
			fail(_request, Failure::DeadlineTooShort, Outcome::NotRun, "the queue is longer than the deadline");
			return;
		}
	}
	_request.phase = Phase::Queued;
	service.queue.push(_request.team, team.weight, queueItem(_request));
	recordDecision(_request, DecisionKind::Queued, {}, service.queue.size());
	dispatchQueued(_request.service);
}

void EntryCore::requeue(Request& _request)
{
	_request.phase = Phase::Queued;
	const TeamConfig& team = m_catalog.at(_request.team).config;
	stateOf(_request.service).queue.pushFront(_request.team, team.weight, queueItem(_request));
}

void EntryCore::dispatchQueued(ServiceHandle _service)
{
	ServiceState& service = stateOf(_service);
	const auto hasRoom = [&](BackendHandle _handle)
	{
		const Backend& backend = m_backends.at(_handle);
		return BackendTable::takesWork(backend, m_now) && backend.active < backend.config.slots;
	};
	while (0 < service.queue.size())
	{
		const auto& rows = m_backends.ofService(_service);
		if (std::none_of(rows.begin(), rows.end(), hasRoom))
		{
			return;
		}
		QueueItem item;
		service.queue.pop(item);
		Request& request = *m_requests.at(item.request);
		RouteQuery query;
		query.service = _service;
		query.promptTokens = request.promptTokens + request.tokens.size();
		query.chain = &request.chain;
		query.now = m_now;
		if (isValid(request.lastBackend))
		{
			query.avoid = request.lastBackend;
			query.avoidDataCentre = m_backends.at(request.lastBackend).config.dataCentre;
		}
		dispatch(request, m_router.choose(m_backends, query));
	}
}

void EntryCore::dispatch(Request& _request, const RouterChoice& _route)
{
	Backend& backend = m_backends.at(_route.backend);
	_request.phase = Phase::Running;
	_request.attempt = m_nextAttempt++;
	_request.backend = _route.backend;
	_request.attempts += 1;
	_request.lastProgress = m_now;
	const std::uint64_t prompt = _request.promptTokens + _request.tokens.size();
	_request.prefillShare = prompt - std::min(prompt, _route.cachedTokens);
	backend.active += 1;
	backend.prefillTokens += _request.prefillShare;
	backend.prefixes.insert(_request.chain);
	m_attempts.emplace(_request.attempt, _request.id);
	m_stats.attempts += 1;
	if (1 == _request.attempts)
	{
		m_budget.onFirstAttempt();
	}
	else
	{
		m_stats.recomputedTokens += _request.prefillShare;
		m_stats.savedTokens += _request.tokens.size();
	}
	recordDecision(_request, DecisionKind::Dispatched, backend.config.id, _route.weighed, _route.expectedTokens);
	StartAttempt start;
	start.attempt = _request.attempt;
	start.backend = backend.config.id;
	start.address = backend.config.address;
	start.payload = _request.payload;
	if (0 < _request.tokens.size())
	{
		start.delivered = std::make_shared<const std::vector<std::string>>(_request.tokens.from(0));
	}
	start.priority = _request.priority;
	start.repeatable = _request.repeatable;
	start.deadline = _request.deadline;
	m_out->push_back(std::move(start));
}

void EntryCore::detachAttempt(Request& _request)
{
	Backend& backend = m_backends.at(_request.backend);
	backend.active -= 1;
	backend.prefillTokens -= _request.prefillShare;
	_request.prefillShare = 0;
	m_attempts.erase(_request.attempt);
	_request.attempt = 0;
	_request.lastBackend = _request.backend;
}

Request* EntryCore::requestOfAttempt(AttemptId _attempt)
{
	const auto it = m_attempts.find(_attempt);
	if (m_attempts.end() == it)
	{
		m_stats.framesDropped += 1;
		return nullptr;
	}
	return m_requests.at(it->second).get();
}

void EntryCore::on(AttemptTokens& _event)
{
	Request* request = requestOfAttempt(_event.attempt);
	if (nullptr == request)
	{
		return;
	}
	const std::uint64_t known = request->tokens.size();
	if (_event.offset > known)
	{
		m_out->push_back(CancelAttempt{_event.attempt});
		AttemptFailed gap;
		gap.attempt = _event.attempt;
		on(gap);
		return;
	}
	for (std::uint64_t ii = known - _event.offset; ii < _event.tokens.size(); ++ii)
	{
		request->tokens.append(_event.tokens[ii]);
	}
	const std::uint64_t added = request->tokens.size() - known;
	m_stats.framesDropped += 0 == added ? 1 : 0;
	m_stats.tokens += added;
	request->lastProgress = m_now;
	Backend& backend = m_backends.at(request->backend);
	backend.prefillTokens -= request->prefillShare;
	request->prefillShare = 0;
	backend.failures = 0;
	deliver(*request);
}

void EntryCore::on(AttemptDone& _event)
{
	Request* request = requestOfAttempt(_event.attempt);
	if (nullptr == request)
	{
		return;
	}
	const bool model = ServiceKind::Model == request->payload->kind;
	if (model && _event.tokenCount != request->tokens.size())
	{
		m_out->push_back(CancelAttempt{_event.attempt});
		AttemptFailed gap;
		gap.attempt = _event.attempt;
		on(gap);
		return;
	}
	m_backends.at(request->backend).failures = 0;
	detachAttempt(*request);
	ServiceState& service = stateOf(request->service);
	service.served += request->cost;
	const ServiceHandle handle = request->service;
	if (model)
	{
		finishModel(*request);
	}
	else
	{
		finishPlain(*request, _event);
	}
	dispatchQueued(handle);
}

void EntryCore::on(AttemptFailed& _event)
{
	Request* request = requestOfAttempt(_event.attempt);
	if (nullptr == request)
	{
		return;
	}
	const ServiceHandle service = request->service;
	const BackendHandle backend = request->backend;
	detachAttempt(*request);
	if (AttemptFault::Refused == _event.fault)
	{
		AttemptDone answer;
		answer.status = _event.status;
		answer.contentType = "application/json";
		answer.body = std::move(_event.body);
		finishPlain(*request, answer);
		dispatchQueued(service);
		return;
	}
	recordFailure(backend);
	retry(*request, _event);
	dispatchQueued(service);
}

void EntryCore::retry(Request& _request, const AttemptFailed& _fault)
{
	const bool broken = AttemptFault::Broken == _fault.fault;
	_request.maySent = _request.maySent || broken;
	if (broken && !_request.repeatable)
	{
		fail(_request, Failure::OutcomeUnknown, Outcome::Unknown,
			 "the connection was lost after the call was sent");
		return;
	}
	if (_request.attempts >= limits::kMaxAttempts || !m_budget.take())
	{
		const Failure failure = _request.maySent ? Failure::BackendLost : Failure::NoBackend;
		fail(_request, failure, outcomeOf(_request), "no attempt succeeded and no further one is allowed");
		return;
	}
	m_stats.retries += 1;
	recordDecision(_request, DecisionKind::Retried, {}, _request.attempts, _request.tokens.size());
	requeue(_request);
}

void EntryCore::recordFailure(BackendHandle _backend)
{
	Backend& backend = m_backends.at(_backend);
	const unsigned doublings = std::min(backend.failures, kMaxBackoffDoublings);
	backend.failures += 1;
	backend.backoffUntil = m_now + (kBackoffBase << doublings);
}

void EntryCore::moveRequestsOff(BackendHandle _backend)
{
	const Backend& backend = m_backends.at(_backend);
	std::vector<RequestId> moved;
	for (const auto& [attempt, id] : m_attempts)
	{
		const Request& request = *m_requests.at(id);
		if (request.backend != _backend || !request.repeatable)
		{
			continue;
		}
		const std::uint64_t maxTokens = request.payload->maxTokens;
		const std::uint64_t left = maxTokens - std::min(maxTokens, request.tokens.size());
		const bool fits = m_now + static_cast<Micros>(left) * kTokenInterval < backend.leavesAt;
		if (backend.gone || !fits)
		{
			moved.push_back(id);
		}
	}
	std::sort(moved.begin(), moved.end());
	for (const RequestId id : moved)
	{
		Request& request = *m_requests.at(id);
		m_out->push_back(CancelAttempt{request.attempt});
		detachAttempt(request);
		request.maySent = true;
		m_stats.moves += 1;
		recordDecision(request, DecisionKind::Moved, backend.config.id, 0, request.tokens.size());
		requeue(request);
	}
}

} // namespace beacongate
