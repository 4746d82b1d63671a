// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of Exchange that handles the answer of a backend server.

#include "daemon/logging.h"
#include "gateway/dispatcher.h"
#include "gateway/exchange.h"
#include "gateway/exchange_p.h"
#include "platform/headers.h"
#include "transport/forwarding.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace beacongate
{
namespace
{
constexpr Micros kMinAttemptTime = 20 * kMillisecond; ///< With less time left, another attempt is not worthwhile.
constexpr unsigned kOk = 200;
constexpr unsigned kMultipleChoices = 300;
constexpr unsigned kServerError = 500;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServiceUnavailable = 503;
constexpr std::size_t kMaxLoggedParts = 8;

/// @returns the length of a body as its head names it, up to the largest that is taken; 0 if it names none.
std::size_t bodyLengthOf(const MessageHead& _head)
{
	const std::string text(findHeader(_head.headers, "Content-Length"));
	const std::size_t length = std::strtoull(text.c_str(), nullptr, 10);
	return std::min(length, limits::kGatewayAnswerBytes);
}

/// @returns for the log the ids of a prompt's parts, without the last one, which belongs to one request alone.
std::string partsText(const std::vector<PromptPart>& _parts)
{
	std::ostringstream text;
	for (std::size_t index = 0; index + 1 < _parts.size() && index < kMaxLoggedParts; ++index)
	{
		text << (index == 0 ? "" : ",") << std::hex << _parts[index].id;
	}
	return text.str().empty() ? "-" : text.str();
}
} // namespace

void Exchange::onHead(const MessageHead& _head)
{
	m_attempt.head = _head;
	m_attempt.info = platform::readAnswer(_head);
	const bool ownAnswer = m_attempt.info.id == m_info.id;
	if (!ownAnswer)
	{
		// The answer belongs to another request.
		failAttempt(AttemptResult::Broken);
		return;
	}
	applyBackendState();
	endBackoffProbe(!m_attempt.info.notExecuted && !m_attempt.info.backoff);
	const bool successStatus = _head.status >= kOk && _head.status < kMultipleChoices;
	if (successStatus && (!m_attempt.info.stamped || m_attempt.info.encoded))
	{
		failAttempt(AttemptResult::Broken);
		return;
	}
	m_attempt.success = successStatus;
	// A stream is counted at its first event, or when the engine itself answers with a failure.
	const bool streaming = successStatus && m_route->kind == RouteKind::Stream;
	if (!m_attempt.info.notExecuted && !streaming)
	{
		countUsage();
	}
}

void Exchange::applyBackendState()
{
	const AnswerInfo& info = m_attempt.info;
	if (info.leaving && !info.misdirected)
	{
		// The header precedes the change of the server's record if the store is slow, and replaces it if the store
		// is unreachable. If the request reached a wrong server, the header describes that server
		// and not the chosen one.
		m_context.directory.markDraining(m_attempt.backend, DepartureSource::Answer, monotonicNow());
	}
	if (info.backoffUnreadable)
	{
		m_context.metrics.onBackoffUnreadable();
		logEvent(LogLevel::Warning, "backoff-unreadable", {{"backend", m_attempt.backend.id}});
	}
	if (info.limitUnreadable)
	{
		m_context.metrics.onLimitUnreadable();
		logEvent(LogLevel::Warning, "limit-unreadable", {{"backend", m_attempt.backend.id}});
	}
	// A value that is no number says nothing of the limit that was named before.
	if (!info.misdirected && (info.limit || !info.limitUnreadable))
	{
		const Micros now = monotonicNow();
		const std::optional<double> before = m_context.limits.limitOf(m_attempt.key);
		m_context.limits.onAnswer(m_attempt.key, info.limit, m_attempt.sent, now, m_context.clock.trueTime(now));
		before && !m_context.limits.limitOf(m_attempt.key) ? m_context.onLimitEnded(m_attempt.key) : void();
		logLimitChange(before);
	}
	if (info.load && !info.misdirected && m_context.settings.features.serverSpeeds)
	{
		m_context.speeds.onLoad(m_attempt.key, *info.load, monotonicNow());
	}
	if (info.loadUnreadable)
	{
		m_context.metrics.onLoadUnreadable();
		logEvent(LogLevel::Warning, "load-unreadable", {{"backend", m_attempt.backend.id}});
	}
	if (info.brittlenessUnreadable)
	{
		logEvent(LogLevel::Warning, "brittleness-unreadable", {{"backend", m_attempt.backend.id}});
	}
	if (!info.misdirected && (info.bearableRejections || !info.brittlenessUnreadable))
	{
		const bool changed = m_context.brittle.onAnswer(ServiceKey(m_service), info.bearableRejections,
														m_context.clock.trueTime(monotonicNow()));
		if (changed)
		{
			const auto& borne = info.bearableRejections;
			logEvent(
				LogLevel::Info, "backend-brittle",
				{{"backend", m_attempt.backend.id}, {"rejections_per_s", borne ? std::to_string(*borne) : "-"}});
		}
	}
	if (info.backoff)
	{
		m_context.metrics.onBackoffAsked();
		m_context.backoffs.onBackoffRequested(m_attempt.key, *info.backoff, monotonicNow());
	}
}

void Exchange::logLimitChange(std::optional<double> _before) const
{
	const std::optional<double> limit = m_context.limits.limitOf(m_attempt.key);
	if (limit != _before)
	{
		logEvent(LogLevel::Info, "backend-limit",
				 {{"backend", m_attempt.backend.id},
				  {"limit_per_s", limit ? std::to_string(*limit) : "-"},
				  {"before", _before ? std::to_string(*_before) : "-"}});
	}
}

void Exchange::countUsage()
{
	if (m_usageCounted || !m_team)
	{
		return;
	}
	m_usageCounted = true;
	const Micros startTime = m_route->kind == RouteKind::Stream ? monotonicNow() : m_attempt.sent;
	m_context.usage.onRequestStarted(m_context.currentWindow(startTime), m_team->name);
}

void Exchange::onBody(std::string_view _bytes)
{
	if (m_attempt.success && m_route->kind == RouteKind::Stream)
	{
		onEvents(_bytes);
		return;
	}
	m_attempt.body += _bytes;
	if (m_attempt.body.size() > limits::kGatewayAnswerBytes)
	{
		failAttempt(AttemptResult::Broken);
		return;
	}
	holdBody(_bytes.size());
}

void Exchange::holdBody(std::size_t _bytes)
{
	if (!m_attempt.memory)
	{
		// A buffer that grows step by step would leave its earlier copies behind in the heap.
		m_attempt.body.reserve(bodyLengthOf(m_attempt.head));
		m_attempt.memory = std::make_shared<AnswerMemory::Share>(m_context.answerMemory);
	}
	const auto resume = [weak = std::weak_ptr<OutgoingCall>(m_attempt.call)]
	{
		if (const auto call = weak.lock())
		{
			call->resume();
		}
	};
	if (!m_attempt.memory->add(_bytes, resume))
	{
		m_attempt.call->pause();
	}
}

void Exchange::onEvents(std::string_view _bytes)
{
	std::string events;
	for (const StreamEvent& event : m_attempt.events.add(_bytes))
	{
		++m_attempt.eventCount;
		// A resumed stream may begin with events that the caller already has.
		if (event.id && m_lastEventId && *event.id <= *m_lastEventId)
		{
			continue;
		}
		m_lastEventId = event.id ? event.id : m_lastEventId;
		events += event.bytes;
	}
	if (m_attempt.events.pending() > limits::kEventBytes)
	{
		failAttempt(AttemptResult::Broken);
		return;
	}
	if (events.empty())
	{
		return;
	}
	if (!m_attempt.firstEventSeen)
	{
		m_attempt.firstEventSeen = true;
		m_attempt.firstEventAt = monotonicNow();
		m_context.balancer.onFirstEvent(m_attempt.key, m_placement);
		if (usesPromptSlots())
		{
			m_context.slots.onEnded(m_attempt.key, std::nullopt, false, monotonicNow());
		}
		m_attempt.resumed ? void() : learnSpeed();
		m_context.metrics.onFirstByte(m_service, monotonicNow() - m_request.received);
		countUsage();
	}
	else if (!m_attempt.partsSound && monotonicNow() - m_attempt.firstEventAt > CrashDetector::kOnsetSpan)
	{
		m_attempt.partsSound = true;
		m_context.crashes.onPartsSound(m_subjects, monotonicNow());
	}
	if (!m_streaming)
	{
		m_streaming = true;
		noteStreamBegun();
		m_session->startAnswer(m_attempt.head.status, endToEndHeaders(m_attempt.head.headers), events);
	}
	else
	{
		m_session->sendBodyPart(events);
	}
	if (m_session->unsent() > limits::kUnsentBytes)
	{
		m_attempt.call->pause();
		m_session->setDrainedHandler(
			[weak = weak_from_this()]
			{
				const auto self = weak.lock();
				if (self && self->m_attempt.call)
				{
					self->m_attempt.call->resume();
				}
			});
	}
}

void Exchange::learnSpeed()
{
	const Micros waited = monotonicNow() - m_attempt.sent;
	const std::optional<ServerLoad>& load = m_attempt.info.load;
	if (!m_placement.byEstimate || !load)
	{
		m_context.engines.onFirstEvent(m_service, m_placement.ownTokens(), waited);
		return;
	}
	if (load->isNearlyIdle())
	{
		const double usual = static_cast<double>(waited) / load->slowdown.value_or(1.0);
		m_context.engines.onFirstEvent(m_service, m_placement.ownTokens(), static_cast<Micros>(usual), true);
		m_context.engines.onIdleRead(m_service, m_placement.promptTokens, static_cast<Micros>(usual));
	}
}

void Exchange::noteStreamBegun()
{
	const bool known = m_streamVersion.has_value();
	m_streamVersion = m_attempt.versionKey;
	if (!known && m_route->resumable)
	{
		const Micros lifetime = m_info.deadline.value_or(0);
		m_context.origins.onBegun(streamKey(), m_attempt.versionKey, lifetime, monotonicNow());
	}
}

void Exchange::onDone()
{
	if (m_attempt.info.misdirected)
	{
		m_context.directory.markMisdirected(m_attempt.backend);
		failAttempt(AttemptResult::Misdirected);
	}
	else if (m_attempt.info.notExecuted)
	{
		failAttempt(AttemptResult::Rejected);
	}
	else if (m_attempt.head.status >= kServerError || (m_streaming && !m_attempt.success))
	{
		// An answer that is no stream cannot continue one.
		failAttempt(AttemptResult::ServerError);
	}
	else if (m_attempt.success && m_route->kind == RouteKind::Stream)
	{
		finishStream();
	}
	else
	{
		completeAttempt();
		forwardAnswer();
	}
}

void Exchange::finishStream()
{
	const bool complete = m_streaming && m_attempt.events.pending() == 0;
	if (!complete)
	{
		failAttempt(AttemptResult::Broken);
		return;
	}
	completeAttempt();
	m_context.origins.onCompleted(streamKey());
	if (!m_attempt.resumed)
	{
		m_context.streamLengths.onStream(m_service, m_route->name, m_attempt.eventCount,
										 monotonicNow() - m_attempt.firstEventAt);
	}
	m_session->finishAnswer();
	finish("done", m_attempt.head.status);
}

void Exchange::onFault(CallFault _fault)
{
	m_attempt.connectionEnded = _fault == CallFault::Broken;
	if (_fault == CallFault::Refused)
	{
		m_attempt.refused = true;
		// The process of the server has ended, and its record may stand for some seconds more.
		m_context.backoffs.onBackoffRequested(m_attempt.key, BackoffTable::kRefusedBackoff, monotonicNow());
	}
	const bool sent = _fault != CallFault::Refused && _fault != CallFault::NotSent;
	failAttempt(sent ? AttemptResult::Broken : AttemptResult::NotSent);
}

void Exchange::completeAttempt()
{
	closeAttempt(true);
	m_context.crashes.onCompleted(m_subjects, monotonicNow());
}

void Exchange::closeAttempt(bool _succeeded)
{
	if (!m_attempt.call)
	{
		return;
	}
	m_attempt.call->cancel();
	m_attempt.call = nullptr;
	releaseBackend(false);
	if (!m_attempt.withheld)
	{
		m_context.balancer.onOutcome(m_attempt.key, _succeeded, monotonicNow());
	}
	m_dispatcher.wake();
}

void Exchange::releaseBackend(bool _abandoned)
{
	endBackoffProbe(false);
	m_context.balancer.onEnded(m_attempt.key, m_placement, m_attempt.firstEventSeen);
	const Micros now = monotonicNow();
	// The slot of a prompt was reported as free at its first event.
	const bool slotFreed = usesPromptSlots() && m_attempt.firstEventSeen;
	if (const std::optional<double> rejections = bearableRejections(now); rejections && !slotFreed)
	{
		const unsigned status = m_attempt.head.status;
		// The home pauses a brittle server that rejects. An engine may read another prompt when a slot is free.
		const bool noRoom = !usesPromptSlots() && m_attempt.info.notExecuted &&
							(status == kServiceUnavailable || status == kTooManyRequests);
		const bool runsOn = _abandoned && !usesPromptSlots(); // Engines stop reading when a connection is closed.
		m_context.slots.onEnded(m_attempt.key, noRoom ? rejections : std::nullopt, runsOn, now);
	}
	m_context.suspects.onEnded(m_subjects, m_attempt.key);
	if (m_attempt.slots > 0 && m_placement.promptTokens == 0)
	{
		m_context.demand.onCall(m_service, monotonicNow() - m_attempt.sent, m_attempt.slots);
	}
}

std::string_view Exchange::connectionText() const
{
	if (m_attempt.requestSent)
	{
		return "used";
	}
	if (m_attempt.withheld)
	{
		return "unused";
	}
	return m_attempt.refused ? toString(ConnectResult::Refused) : toString(ConnectResult::Unreachable);
}

void Exchange::failAttempt(AttemptResult _result)
{
	if (m_finished)
	{
		return;
	}
	const Micros now = monotonicNow();
	if (_result == AttemptResult::Broken && m_attempt.requestSent)
	{
		// The request is counted as run: an answer is lost more often than an engine fails before it begins.
		countUsage();
	}
	closeAttempt(_result == AttemptResult::Misdirected);
	m_connectionLost = m_connectionLost || m_attempt.connectionEnded;
	const unsigned weight =
		m_context.crashes.weightOf(m_subjects) + (m_attempt.connectionEnded ? CrashLedger::kCrashWeight : 0);
	reportEndedConnection();
	if (m_attempt.withheld)
	{
		m_triedBackends.pop_back();
	}
	const bool unsent = _result == AttemptResult::NotSent && !m_attempt.withheld;
	m_unsentTries += unsent && !m_attempt.refused ? 1 : 0;
	m_refusedTries += unsent && m_attempt.refused ? 1 : 0;
	m_mayHaveRun = m_mayHaveRun || mayHaveRunAfter(_result);
	AttemptContext context;
	context.repeatable = m_route->repeatable();
	context.mayHaveRun = m_mayHaveRun;
	context.mayCrash = weight + CrashLedger::kCrashWeight >= CrashLedger::kBlockingWeight;
	context.sent = m_sendCount;
	context.maxAttempts = m_route->maxAttempts;
	context.unsentTries = m_unsentTries;
	context.refusedTries = m_refusedTries;
	context.budgetAllows = m_context.retryBudget.allows(m_service, now);
	context.timeLeft = timeLeft(now) > kMinAttemptTime;
	const Availability candidates = available(now);
	context.anotherBackend =
		!candidates.open.empty() || candidates.limited ||
		(candidates.waitsForBackoff() && decideOnOverload(roomContext(now), candidates) == OverloadDecision::Wait);
	const AttemptDecision decision = decideAfterAttempt(_result, context);
	m_context.metrics.onFailedAttempt(m_service, toString(_result));
	const std::optional<double> rejections = bearableRejections(now);
	logEvent(LogLevel::Info, "attempt-failed",
			 {{"request", m_info.id},
			  {"content", toString(m_subjects.request)},
			  {"parts", partsText(m_placement.parts)},
			  {"backend", m_attempt.backend.id},
			  {"version", m_attempt.version},
			  {"result", std::string(toString(_result))},
			  {"via", m_attempt.via.empty() ? "-" : m_attempt.via},
			  {"connection", std::string(connectionText())},
			  {"status", std::to_string(m_attempt.head.status)},
			  {"sent", std::to_string(m_sendCount)},
			  {"backoff_left_ms", millisText(m_attempt.backoffLeft)},
			  {"brittle", rejections ? std::to_string(*rejections) : "-"},
			  {"in_flight", std::to_string(m_context.balancer.ownInFlight(m_attempt.key))},
			  {"all_in_flight", std::to_string(m_context.balancer.totalInFlight(m_attempt.key))},
			  {"granted_by", m_attempt.grantor.empty() ? "-" : m_attempt.grantor},
			  {"asked_backoff_ms", m_attempt.info.backoff ? millisText(*m_attempt.info.backoff) : "-"},
			  {"says_leaving", m_attempt.info.leaving ? "yes" : "no"},
			  {"ms", millisText(now - m_attempt.sent)},
			  {"decision", std::string(toString(decision))}});
	if (decision == AttemptDecision::Retry)
	{
		if (!tryDispatch() && !m_finished)
		{
			m_queued = true;
			m_dispatcher.enqueue(shared_from_this());
		}
		return;
	}
	if (m_streaming)
	{
		abortStream();
		return;
	}
	if (decision == AttemptDecision::PassAnswer)
	{
		forwardAnswer();
		return;
	}
	if (decision == AttemptDecision::AnswerNotRun)
	{
		refuse(Failure::NoBackend, "no backend server accepted the request", retryAfter(now));
		return;
	}
	refuse(Failure::BackendLost, "the backend server did not answer");
}

void Exchange::reportEndedConnection()
{
	const Micros now = monotonicNow();
	// A server that was asked to leave ends without a fault.
	const bool expected = m_context.directory.listingState(m_attempt.backend, now) == ListingState::Gone;
	// A request that a server has already run for a while did not crash it by being run.
	const bool ranBefore = m_attempt.firstEventSeen && now - m_attempt.firstEventAt > CrashDetector::kOnsetSpan;
	if (m_attempt.connectionEnded && !expected && !ranBefore)
	{
		m_context.crashDetector.onConnectionEnded(
			{m_attempt.backend, m_attempt.address, m_subjects, m_attempt.crashKeys, now});
	}
}

void Exchange::abortStream()
{
	m_session->abort();
	finish("broken", 0);
}

void Exchange::forwardAnswer()
{
	HttpAnswer answer;
	answer.status = m_attempt.head.status;
	answer.headers = endToEndHeaders(m_attempt.head.headers);
	answer.body = std::move(m_attempt.body);
	m_session->answer(std::move(answer));
	m_session->holdUntilSent(std::move(m_attempt.memory));
	finish("passed", m_attempt.head.status);
}

} // namespace beacongate
