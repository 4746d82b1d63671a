// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of Exchange that finds backend servers for a request, and decides whether it waits for one.

#include "coordination/stoppolicy.h"
#include "daemon/logging.h"
#include "gateway/dispatcher.h"
#include "gateway/exchange.h"
#include "gateway/exchange_p.h"

#include <algorithm>
#include <random>

namespace beacongate
{
std::vector<const KnownBackend*> Exchange::usableBackends(Micros _now) const
{
	std::vector<const KnownBackend*> usable = m_context.directory.usableOf(m_service, _now, m_streamVersion);
	if (m_route->kind == RouteKind::Stream && m_route->resumable && !m_streamVersion)
	{
		std::erase_if(usable, [this](const KnownBackend* _backend)
					  { return !m_context.versions.isLogged(_backend->version); });
	}
	return usable;
}

StreamKey Exchange::streamKey() const
{
	const bool takenUp = !m_info.lastEventId.empty() && !m_info.resumedId.empty();
	return {m_team ? std::string_view(m_team->name) : std::string_view(), takenUp ? m_info.resumedId : m_info.id};
}

bool Exchange::resolveStreamVersion(Micros _now)
{
	const bool takenUp = m_route->kind == RouteKind::Stream && m_route->resumable && !m_info.lastEventId.empty();
	if (!takenUp || m_streamVersion)
	{
		return true;
	}
	const auto found = [weak = weak_from_this()]
	{
		if (const auto self = weak.lock())
		{
			self->onDecided();
		}
	};
	const OriginVerdict verdict = m_context.origins.search(m_originTicket, streamKey(), ServiceKey(m_service),
														   _now - m_context.content.confirmed, _now, found);
	logStreamOrigin(verdict, _now);
	if (verdict.needsContent)
	{
		m_context.onContentNeeded();
	}
	if (verdict.state == OriginState::Unknown)
	{
		refuse(Failure::NoBackend, "the software version at which the stream began is not known",
			   verdict.mayBeKnown ? kShortRetryAfter : 0);
	}
	if (verdict.state != OriginState::Known)
	{
		return false;
	}
	bindToVersion(verdict.version);
	return true;
}

void Exchange::logStreamOrigin(const OriginVerdict& _verdict, Micros _now) const
{
	if (_verdict.state == OriginState::Pending)
	{
		return;
	}
	const VersionHistory& history = m_context.versions;
	logEvent(LogLevel::Info, "stream-origin",
			 {{"request", m_info.id},
			  {"resumes", m_info.resumedId.empty() ? "-" : m_info.resumedId},
			  {"grounds", std::string(toString(_verdict.grounds))},
			  {"version_key", std::to_string(_verdict.version.value)},
			  {"versions", std::to_string(history.versionsOf(ServiceKey(m_service)).size())},
			  {"history_complete", history.isComplete(_now) ? "yes" : "no"},
			  {"content_age_ms", millisText(_now - m_context.content.confirmed)}});
}

void Exchange::bindToVersion(VersionKey _version)
{
	m_streamVersion = _version;
	// Each arrival of a request draws one of its route's services; the stream has to go on at its own.
	for (const WeightedService& part : m_route->split)
	{
		if (m_context.versions.contains(ServiceKey(part.service), _version))
		{
			m_service = part.service;
		}
	}
}

bool Exchange::refuseWithoutVersion(Micros _now)
{
	if (!m_streamVersion || !usableBackends(_now).empty())
	{
		return false;
	}
	refuse(Failure::NoBackend, "no backend server of the stream's software version takes work", kShortRetryAfter);
	return true;
}

bool Exchange::isBlocked() const
{
	return m_context.crashes.suspicionOf(m_subjects) == Suspicion::Blocked;
}

void Exchange::countDemand()
{
	const PooledService* service = m_config->findService(m_service);
	if (m_placement.promptTokens == 0 || !service || !service->engine)
	{
		return;
	}
	m_context.demand.onArrival(m_service,
							   m_context.engines.readShare(m_service) *
								   m_context.engines.prefillSeconds(m_service, m_placement.promptTokens),
							   m_context.streamLengths.holdSeconds(m_service, m_route->name),
							   service->engine->slots);
}

Placement Exchange::place(const Availability& _available, Micros _now)
{
	const bool suspected = m_connectionLost || m_context.crashes.suspicionOf(m_subjects) == Suspicion::Suspected;
	const auto preferred = m_context.suspects.preferred(_available.open, m_subjects, suspected);
	const Placement placement = m_context.balancer.choose(preferred, m_placement, m_triedBackends, _now);
	const bool found = placement.backend && !placement.full;
	return found || preferred.size() == _available.open.size()
			   ? placement
			   : m_context.balancer.choose(_available.open, m_placement, m_triedBackends, _now);
}

std::optional<double> Exchange::bearableRejections(Micros _now) const
{
	return m_context.bearableRejections(m_service, _now);
}

const KnownBackend* Exchange::chooseBackend(Availability _available, Micros _now)
{
	const std::optional<double> rejections = bearableRejections(_now);
	if (m_context.suspects.mustWait(m_subjects))
	{
		m_context.slots.abandon(m_slotTicket, _now);
		return nullptr;
	}
	while (true)
	{
		const KnownBackend* backend = m_context.slots.waitsFor(m_slotTicket, _available, _now);
		if (!backend)
		{
			const Placement placement = place(_available, _now);
			m_placement.expectedTokens = placement.expectedTokens;
			// The grantor of a server knows better than load reports whether it is full, but where it grants
			// prompts, it does not count the requests that are generating.
			const bool grantorCounts = rejections && !usesPromptSlots();
			backend = placement.full && !grantorCounts ? nullptr : placement.backend;
		}
		if (!backend)
		{
			return nullptr;
		}
		const std::optional<double> limit = m_context.limits.limitOf(backend->key);
		if (!rejections && !limit)
		{
			m_context.slots.abandon(m_slotTicket, _now);
			return backend;
		}
		const SlotVerdict verdict = takeSlot(*backend, rejections, limit, _now);
		if (verdict != SlotVerdict::Denied)
		{
			return verdict == SlotVerdict::Granted ? backend
												   : replaceQueued(std::move(_available), rejections, _now);
		}
		std::erase(_available.open, backend);
		if (usesPromptSlots() && mustRefuse(heldRequest(_now), false))
		{
			return nullptr;
		}
	}
}

void Exchange::preparePlacement(const Availability& _available, Micros _now)
{
	m_admissionTarget = m_placement.promptTokens > 0 ? m_context.admissionRules.targetOf(m_service) : std::nullopt;
	const auto hasSpeed = [this](const KnownBackend* _backend)
	{
		return m_context.speeds.isKnown(_backend->key);
	};
	const bool speedsKnown =
		m_context.speeds.size() > 0 && std::any_of(_available.open.begin(), _available.open.end(), hasSpeed);
	m_placement.byEstimate = m_admissionTarget || speedsKnown;
	// A brittle server fails if it runs too many requests, so that its slots are taken until their end.
	m_placement.freesSlotAtFirstEvent =
		m_admissionTarget && m_context.slotRules.grantsPrompts(m_service) && !m_context.isBrittle(m_service, _now);
	// A request that waits for a slot keeps the estimate for its server.
	const bool waits = m_slotTicket.id != 0;
	m_placement.expectedTokens = waits ? m_placement.expectedTokens : m_placement.promptTokens;
}

bool Exchange::usesPromptSlots() const
{
	return m_placement.freesSlotAtFirstEvent;
}

HeldRequest Exchange::heldRequest(Micros _now) const
{
	const bool begun = m_sendCount > 0 || m_mayHaveRun || !m_info.lastEventId.empty();
	return {_now, m_request.received, m_route->targetLatency, begun};
}

bool Exchange::refuseInShortage(Micros _now)
{
	if (!usesPromptSlots() || !mustRefuse(heldRequest(_now), m_context.slots.isAsked(m_slotTicket)))
	{
		return false;
	}
	m_context.shortages.onDecided(m_service, true, _now);
	const double share = m_context.shortages.refusedShare(m_service);
	const double spread = std::uniform_real_distribution<double>()(m_context.random);
	const Micros delay = retryAfterShortage(share, timeLeft(_now), spread);
	const bool returning = isReturning(m_info.deadline, m_route->timeout);
	m_context.metrics.onAdmissionRefused(m_service, m_priority, returning);
	logEvent(LogLevel::Info, "admission-refused",
			 {{"request", m_info.id},
			  {"service", m_service},
			  {"priority", std::to_string(m_priority)},
			  {"returning", returning ? "yes" : "no"},
			  {"prompt_tokens", std::to_string(m_placement.promptTokens)},
			  {"tokens_per_ms", std::to_string(m_placement.tokensPerMilli)},
			  {"held_ms", millisText(_now - m_request.received)},
			  {"refused_share", std::to_string(share)},
			  {"retry_after_ms", millisText(delay)}});
	refuse(Failure::NoBackend, "no backend server can read the prompt in time", delay);
	return true;
}

const KnownBackend* Exchange::replaceQueued(Availability _available, std::optional<double> _rejections, Micros _now)
{
	if (_rejections || !m_context.slots.isQueued(m_slotTicket))
	{
		return nullptr;
	}
	std::erase_if(_available.open, [this](const KnownBackend* _backend)
				  { return m_context.limits.limitOf(_backend->key).has_value(); });
	const Placement placement = place(_available, _now);
	if (!placement.backend || placement.full)
	{
		return nullptr;
	}
	m_context.slots.abandon(m_slotTicket, _now);
	m_placement.expectedTokens = placement.expectedTokens;
	return placement.backend;
}

SlotVerdict Exchange::takeSlot(const KnownBackend& _backend, std::optional<double> _rejections,
							   std::optional<double> _limit, Micros _now)
{
	SlotNeed need{_backend.key, _backend.record.slots, _rejections, m_priority, timeLeft(_now), _limit};
	if (usesPromptSlots())
	{
		const double promptMillis = m_context.speeds.lasting(_backend.key) *
									m_context.engines.meanPromptTokens(m_service) / m_placement.tokensPerMilli;
		m_queueDraw = m_queueDraw ? *m_queueDraw : std::uniform_real_distribution<double>()(m_context.random);
		need.prompts = true;
		need.slots = SlotRules::promptSlots(*m_admissionTarget, promptMillis, _backend.record.slots);
		need.priority = queueRank(m_priority, isReturning(m_info.deadline, m_route->timeout), *m_queueDraw);
		need.patience = std::min(need.patience, holdLeft(heldRequest(_now)));
	}
	else if (!m_mayHaveRun)
	{
		need.patience = std::min(need.patience, m_request.received + m_route->targetLatency - _now);
	}
	return m_context.slots.take(m_slotTicket, need, _now,
								[weak = weak_from_this()]
								{
									if (const auto self = weak.lock())
									{
										self->onDecided();
									}
								});
}

Availability Exchange::available(Micros _now) const
{
	return availableWithout(m_triedBackends, _now);
}

Availability Exchange::availableWithout(const std::vector<std::string>& _excluded, Micros _now) const
{
	// Backoffs and limits are applied before the balancer chooses, so that no fallback of the balancer overrides
	// them.
	Availability available = m_context.backoffs.available(usableBackends(_now), _excluded, _now);
	m_context.slots.narrow(available, m_slotTicket, _now);
	return available;
}

OverloadContext Exchange::roomContext(Micros _now) const
{
	OverloadContext context{_now, m_request.received + m_route->targetLatency, std::min(m_deadline, latestStart()),
							m_sendCount > 0, m_mayHaveRun};
	if (m_context.limits.size() > 0)
	{
		const Micros until = m_mayHaveRun ? context.waitUntil : std::min(context.answerTarget, context.waitUntil);
		const std::optional<std::size_t> allowed =
			m_context.limits.requestsWithin(usableBackends(_now), until - _now);
		context.behindLimit = allowed && m_dispatcher.waitingBefore(this) >= *allowed;
	}
	return context;
}

bool Exchange::refuseWithoutRoom(const Availability& _available, Micros _now)
{
	const OverloadDecision decision = decideOnOverload(roomContext(_now), _available);
	if (decision == OverloadDecision::Wait)
	{
		return false;
	}
	refuse(Failure::NoBackend,
		   decision == OverloadDecision::RefuseLate ? "no backend server has room"
													: "all backend servers are in backoffs or at their limits",
		   retryAfter(_now));
	return true;
}

Micros Exchange::latestStart() const
{
	if (!m_context.stopping)
	{
		return kNever;
	}
	const double stream =
		m_route->kind == RouteKind::Stream ? m_context.streamLengths.holdSeconds(m_service, m_route->name) : 0.0;
	const Micros expected = m_route->targetLatency + static_cast<Micros>(stream * static_cast<double>(kSecond));
	return m_context.stopRequested + StopPolicy(m_context.settings.grace).latestStart(expected);
}

bool Exchange::refuseBeforeStop(Micros _now)
{
	if (_now < latestStart())
	{
		return false;
	}
	refuse(Failure::Stopping, "this gateway stops before the request could end", retryAfter(_now));
	return true;
}

Micros Exchange::retryAfter(Micros _now)
{
	const Availability candidates = availableWithout({}, _now);
	const double jitter = std::uniform_real_distribution<double>()(m_context.random);
	return retryAfterRefusal(candidates, jitter, kShortRetryAfter, _now);
}

void Exchange::endBackoffProbe(bool _accepted)
{
	if (m_attempt.backoffProbe)
	{
		m_attempt.backoffProbe = false;
		m_context.backoffs.onEnded(m_attempt.key, _accepted);
	}
}

} // namespace beacongate
