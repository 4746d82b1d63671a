// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/exchange.h"

#include "daemon/logging.h"
#include "gateway/dispatcher.h"
#include "gateway/erroranswers.h"
#include "gateway/exchange_p.h"
#include "platform/headers.h"
#include "transport/forwarding.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr Micros kMinConnectTimeout = 60 * kMillisecond;
constexpr Micros kMaxConnectTimeout = 300 * kMillisecond;
constexpr Micros kDefaultDeadline = 30 * kSecond;
constexpr double kMillisPerSecond = 1000.0;

/// @returns what the headers of a request tell of its prompt, which is the same for each attempt of a caller; empty
/// if they tell nothing.
std::string describePrompt(const RequestInfo& _info)
{
	std::string text = _info.promptTokens ? std::to_string(*_info.promptTokens) : "";
	for (const PromptPart& part : _info.parts)
	{
		text += ',' + std::to_string(part.id) + ':' + std::to_string(part.tokens);
	}
	return text;
}
} // namespace

Exchange::Exchange(GatewayContext& _context, Dispatcher& _dispatcher, ServerSessionPtr _session,
				   IncomingRequest&& _request)
	: m_context(_context), m_dispatcher(_dispatcher), m_session(std::move(_session)),
	  m_request(std::move(_request)), m_timer(_context.loop)
{
	m_context.openExchanges.insert(this);
}

Exchange::~Exchange()
{
	m_context.openExchanges.erase(this);
}

void Exchange::start()
{
	m_session->setDisconnectHandler(
		[weak = weak_from_this()]
		{
			if (const auto self = weak.lock())
			{
				self->onCallerGone();
			}
		});
	if (!resolve())
	{
		return;
	}
	m_timer.expires_after(std::chrono::microseconds(timeLeft(monotonicNow())));
	m_timer.async_wait(
		[weak = weak_from_this()](const boost::system::error_code& _error)
		{
			const auto self = weak.lock();
			if (!_error && self)
			{
				self->onTimeout();
			}
		});
	if (!tryDispatch())
	{
		m_queued = true;
		m_dispatcher.enqueue(shared_from_this());
	}
}

bool Exchange::resolve()
{
	const Micros now = monotonicNow();
	try
	{
		m_info = platform::readRequest(m_request.head);
	}
	catch (const Error& error)
	{
		refuse(error.failure(), error.what());
		return false;
	}
	m_config = m_context.directory.config();
	if (!m_config)
	{
		refuse(Failure::StoreUnavailable, "no configuration yet", kStoreUnavailableRetryAfter);
		return false;
	}
	if (m_info.id.empty())
	{
		refuse(Failure::MalformedRequest, "the request has no id");
		return false;
	}
	if (!applyConfig(m_config))
	{
		return false;
	}
	const Micros timeout = std::min(m_info.deadline.value_or(kDefaultDeadline), m_route->timeout);
	m_deadline = m_request.received + timeout;
	if (timeLeft(now) <= 0)
	{
		refuse(Failure::DeadlineTooShort, "the deadline has passed", kShortRetryAfter);
		return false;
	}
	m_placement.promptTokens = m_info.promptTokens.value_or(0);
	m_placement.parts = m_info.parts;
	m_subjects = computeSubjects();
	return true;
}

CrashSubjects Exchange::computeSubjects() const
{
	RequestContent content;
	content.team = m_team ? std::string_view(m_team->name) : std::string_view();
	content.host = m_info.host;
	content.method = m_request.head.method;
	content.target = m_request.head.target;
	content.body = m_request.body;
	const std::string prompt = describePrompt(m_info);
	content.prompt = prompt;
	CrashSubjects subjects{fingerprintOf(content), {}};
	// The last part belongs to this request, or to its session, alone.
	for (std::size_t index = 0; index + 1 < m_info.parts.size() && index < CrashSubjects::kMaxParts; ++index)
	{
		subjects.parts.push_back(partFingerprintOf(subjects.request.team, m_info.parts[index].id));
	}
	return subjects;
}

double Exchange::quotaCost() const
{
	if (!m_team->countsTokens)
	{
		return 1.0;
	}
	return static_cast<double>(m_info.promptTokens ? *m_info.promptTokens + m_info.outputTokens
												   : m_team->plainTokens);
}

bool Exchange::takeQuota()
{
	if (!m_team)
	{
		return true;
	}
	const double amount = quotaCost();
	const auto decided = [weak = weak_from_this()]
	{
		if (const auto self = weak.lock())
		{
			self->onDecided();
		}
	};
	const QuotaVerdict verdict =
		m_context.admission.take(m_quotaTicket, m_team->name, amount, monotonicNow(), decided);
	if (verdict.reason == QuotaRefusalReason::Pending)
	{
		return false;
	}
	if (!verdict.passes())
	{
		refuse(Failure::QuotaExceeded, "over the team's quota: " + std::string(toString(verdict.reason)),
			   verdict.wait);
		return false;
	}
	m_quotaTaken = amount;
	return true;
}

void Exchange::onDecided()
{
	if (tryDispatch())
	{
		m_dispatcher.remove(this);
	}
}

bool Exchange::admit()
{
	if (!m_admitted)
	{
		m_admitted = takeQuota();
		m_admitted ? countDemand() : void();
	}
	return m_admitted;
}

void Exchange::chargeRetry()
{
	// A request that failed while it ran consumes capacity again when it is retried. If retries were not charged,
	// a team at its limit could exceed it by as much as the retry budget allows: a fifth, of which only a tenth is
	// tolerated.
	if (m_team && m_mayHaveRun)
	{
		m_context.quotas.charge(m_team->name, quotaCost(), monotonicNow());
	}
}

Micros Exchange::timeLeft(Micros _now) const
{
	return m_deadline - _now;
}

bool Exchange::tryDispatch()
{
	if (m_finished)
	{
		return true;
	}
	const Micros now = monotonicNow();
	if (m_context.directory.config() != m_config && !applyConfig(m_context.directory.config()))
	{
		return true;
	}
	if (refuseBeforeStop(now))
	{
		return true;
	}
	if (keyMayBeRevoked(now))
	{
		refuse(Failure::KeyUnconfirmed, "the key cannot be confirmed", kStoreUnavailableRetryAfter);
		return true;
	}
	if (isBlocked())
	{
		refuse(Failure::RequestBlocked,
			   "backend servers crash when they run this request, or a part of its prompt: " +
				   toString(m_context.crashes.mostSuspected(m_subjects)));
		return true;
	}
	if (!resolveStreamVersion(now))
	{
		return m_finished;
	}
	if (refuseWithoutVersion(now))
	{
		return true;
	}
	if (!admit())
	{
		return m_finished;
	}
	if (m_context.directory.listOutdated(now))
	{
		// The store is slow, or this VM got no CPU time for a while. If the list were not read again first, 1 to
		// 12 of 12 requests that arrived meanwhile went to a backend server that had left (one of two).
		m_context.metrics.onHeldForList(m_heldForList);
		m_heldForList = true;
		return false;
	}
	m_placement.tokensPerMilli = m_context.engines.tokensPerSecond(m_service) / kMillisPerSecond;
	const Availability candidates = available(now);
	preparePlacement(candidates, now);
	const KnownBackend* backend = chooseBackend(candidates, now);
	if (!backend && refuseInShortage(now))
	{
		return true;
	}
	if (!backend)
	{
		// Servers at their limits may just have been found.
		return refuseWithoutRoom(m_context.limits.size() > 0 ? available(now) : candidates, now);
	}
	send(*backend);
	return true;
}

void Exchange::send(const KnownBackend& _backend)
{
	const Micros now = monotonicNow();
	if (m_queued)
	{
		m_context.metrics.onQueued(m_service, now - m_request.received);
	}
	m_queued = false;
	m_attempt = {};
	m_attempt.backend = _backend.record.identity();
	m_attempt.key = _backend.key;
	m_attempt.address = _backend.record.address;
	m_attempt.version = _backend.record.version;
	m_attempt.versionKey = _backend.version;
	m_attempt.sent = now;
	m_triedBackends.push_back(_backend.record.id);
	m_attempt.slots = _backend.record.slots;
	m_attempt.resumed = m_lastEventId.has_value() || !m_info.lastEventId.empty();
	m_attempt.limit = m_context.limits.limitOf(_backend.key);
	m_attempt.paced = m_slotTicket.paced;
	m_attempt.grantor = m_slotTicket.grantor;
	m_attempt.backoffProbe = m_context.backoffs.onPlaced(_backend.key, now);
	m_context.balancer.onSent(_backend.key, m_placement);
	if (m_admissionTarget)
	{
		m_context.shortages.onDecided(m_service, false, now);
		m_context.engines.onPlaced(m_service, m_placement.expectedTokens);
	}
	m_context.suspects.onPlaced(m_subjects, _backend.key);
	CallOptions options;
	options.noBody = m_request.head.method == "HEAD";
	const Micros connectSpan = std::clamp(m_route->targetLatency / 4, kMinConnectTimeout, kMaxConnectTimeout);
	const BackendTarget target{m_attempt.backend, m_attempt.address, connectSpan};
	const auto self = shared_from_this();
	options.connect = [self, target](CallConnectionHandler _done)
	{
		self->connect(target, std::move(_done));
	};
	CallHandlers handlers;
	handlers.maySend = [self]
	{
		return self->mayStillSend();
	};
	handlers.onSent = [self]
	{
		self->m_attempt.requestSent = true;
		self->m_attempt.crashKeys = self->m_context.crashes.nextCrashKeys(self->m_subjects, self->m_attempt.key);
		self->recordListState();
		if (self->m_sendCount == 0)
		{
			self->m_context.retryBudget.onRequest(self->m_service, monotonicNow());
		}
		else
		{
			self->m_context.retryBudget.onRetry(self->m_service, monotonicNow());
			self->chargeRetry();
		}
		++self->m_sendCount;
	};
	handlers.onHead = [self](const MessageHead& _head)
	{
		self->onHead(_head);
	};
	handlers.onBody = [self](std::string_view _bytes)
	{
		self->onBody(_bytes);
	};
	handlers.onDone = [self]
	{
		self->onDone();
	};
	handlers.onFault = [self](CallFault _fault)
	{
		self->onFault(_fault);
	};
	m_attempt.call = OutgoingCall::start(m_context.loop, options, formatForward(_backend), std::move(handlers));
}

void Exchange::connect(const BackendTarget& _target, CallConnectionHandler _done)
{
	m_context.connector.open(_target,
							 [self = shared_from_this(), done = std::move(_done)](const BackendConnection& _opened)
							 {
								 self->m_attempt.via = _opened.via;
								 done(_opened);
							 });
}

void Exchange::recordListState()
{
	const Micros now = monotonicNow();
	m_attempt.listAge = m_context.directory.listAge(now);
	m_attempt.listingState = m_context.directory.listingState(m_attempt.backend, now);
	m_attempt.backoffLeft = m_context.backoffs.left(m_attempt.key, now);
	m_context.metrics.onSent(m_service, m_attempt.listAge, m_attempt.listingState);
	m_context.metrics.onSentInBackoff(m_attempt.backoffLeft > 0);
}

bool Exchange::mayStillSend()
{
	// Connecting may have taken 0.3 s, and timers fire late if this VM gets no CPU time. Meanwhile the backend
	// server may have left, asked for a backoff or named a limit, and the request may have been blocked.
	const Micros now = monotonicNow();
	const bool inTime = timeLeft(now) > 0;
	const bool listed =
		m_context.directory.takesWork(m_attempt.backend, now) && !m_context.directory.listOutdated(now);
	const bool inBackoff = m_context.backoffs.left(m_attempt.key, now) > 0;
	const bool granted = m_attempt.paced && now - m_attempt.sent <= SlotPermits::kMaxGrantAge;
	const bool overLimit = !granted && m_context.limits.limitOf(m_attempt.key);
	m_attempt.withheld = !inTime || !listed || inBackoff || overLimit || isBlocked();
	return !m_attempt.withheld;
}

std::string Exchange::formatForward(const KnownBackend& _backend) const
{
	ForwardFields fields;
	fields.timeLeft = timeLeft(monotonicNow());
	fields.backendId = _backend.record.id;
	fields.team = m_team ? m_team->name : "";
	fields.lastEventId = m_lastEventId ? std::to_string(*m_lastEventId) : "";
	const PooledService* service = m_config->findService(m_service);
	if (service && service->engine)
	{
		fields.priority = m_priority;
	}
	std::string bytes = m_request.head.method + ' ' + m_request.head.target + " HTTP/1.1\r\n";
	appendHeaders(bytes, platform::forwardedHeaders(m_request.head.headers, fields));
	const bool hadBody = m_request.head.chunked || !findHeader(m_request.head.headers, "Content-Length").empty();
	if (hadBody)
	{
		bytes += "Content-Length: " + std::to_string(m_request.body.size()) + "\r\n";
	}
	bytes += "Connection: close\r\n\r\n";
	bytes += m_request.body;
	return bytes;
}

void Exchange::refuse(Failure _failure, const std::string& _detail, Micros _retryAfter)
{
	unsigned status = failureInfo(_failure).status;
	// The request may have run, so the answer must not say that it did not.
	status = m_mayHaveRun && failureInfo(_failure).outcome == Outcome::NotRun ? 502 : status;
	answerError(status, _failure, _detail, m_mayHaveRun ? 0 : _retryAfter);
}

void Exchange::answerError(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter)
{
	if (m_finished)
	{
		return;
	}
	if (m_streaming)
	{
		abortStream();
		return;
	}
	if (m_team && m_quotaTaken > 0.0 && !m_mayHaveRun && m_sendCount == 0)
	{
		m_context.admission.refund(m_quotaTicket, m_team->name, m_quotaTaken, monotonicNow());
	}
	m_session->answer(
		makeErrorAnswer(_status, _failure, _detail, _retryAfter, platform::errorAnswerHeaders(m_info.id)));
	finish(std::string(failureInfo(_failure).type), _status, _detail);
}

void Exchange::onCallerGone()
{
	if (m_finished)
	{
		return;
	}
	finish("caller-gone", 0);
}

void Exchange::noteRunningAttempt()
{
	m_mayHaveRun = m_mayHaveRun || (m_attempt.call && m_attempt.requestSent);
}

void Exchange::onTimeout()
{
	if (m_finished)
	{
		return;
	}
	noteRunningAttempt();
	if (m_mayHaveRun)
	{
		answerError(504, Failure::BackendLost, "no answer in time", 0);
		return;
	}
	refuse(Failure::NoBackend, "no backend server had room in time", retryAfter(monotonicNow()));
}

void Exchange::onStop()
{
	if (m_finished || m_streaming)
	{
		// A stream ends with the process and does not look complete; a reset would discard its last events.
		return;
	}
	noteRunningAttempt();
	if (m_mayHaveRun)
	{
		answerError(502, Failure::BackendLost, "this gateway had to stop before the answer came", 0);
		return;
	}
	refuse(Failure::Stopping, "this gateway is stopping", kShortRetryAfter);
}

void Exchange::finish(const std::string& _outcome, unsigned _status, const std::string& _detail)
{
	if (m_finished)
	{
		return;
	}
	m_finished = true;
	m_timer.cancel();
	m_context.admission.abandon(m_quotaTicket);
	m_context.origins.abandon(m_originTicket);
	m_context.slots.abandon(m_slotTicket, monotonicNow());
	if (m_attempt.call)
	{
		m_attempt.call->cancel();
		m_attempt.call = nullptr;
		releaseBackend(m_attempt.requestSent);
		m_dispatcher.wake();
	}
	if (m_queued)
	{
		m_dispatcher.remove(this);
	}
	const Micros now = monotonicNow();
	m_context.metrics.onRequest({m_route ? m_route->name : "-", m_team ? m_team->name : "-", _outcome, _status},
								now - m_request.received);
	logEvent(LogLevel::Info, "request",
			 {{"request", m_info.id},
			  {"route", m_route ? m_route->name : "-"},
			  {"team", m_team ? m_team->name : "-"},
			  {"outcome", _outcome},
			  {"status", std::to_string(_status)},
			  {"backend", m_attempt.backend.id.empty() ? "-" : m_attempt.backend.id},
			  {"version", m_attempt.version.empty() ? "-" : m_attempt.version},
			  {"resumes", m_info.resumedId.empty() ? "-" : m_info.resumedId},
			  {"after_event", m_info.lastEventId.empty() ? "-" : m_info.lastEventId},
			  {"via", m_attempt.via.empty() ? "-" : m_attempt.via},
			  {"content", toString(m_subjects.request)},
			  {"sent", std::to_string(m_sendCount)},
			  {"detail", _detail.empty() ? "-" : _detail},
			  {"ms", millisText(now - m_request.received)},
			  {"config", m_config ? std::to_string(m_config->version) : "-"},
			  {"config_age_ms", millisText(m_context.directory.age(now))},
			  {"list_age_ms", m_sendCount == 0 ? "-" : millisText(m_attempt.listAge)},
			  {"standing", m_sendCount == 0 ? "-" : std::string(toString(m_attempt.listingState))},
			  {"backoff_left_ms", millisText(m_attempt.backoffLeft)},
			  {"limit_per_s", m_attempt.limit ? std::to_string(*m_attempt.limit) : "-"},
			  {"paced", m_attempt.paced ? "yes" : "no"},
			  {"members", std::to_string(m_context.members.count())},
			  {"members_listed", std::to_string(m_context.relays.memberCount())}});
}

} // namespace beacongate
