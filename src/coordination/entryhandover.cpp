// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Handovers of EntryCore: requests that it gives away while stopping, and those received from other entries.

#include "coordination/entrycore.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace beacongate
{
namespace
{
/// Interval between handover offers of a request that no entry has confirmed.
constexpr Micros kOfferInterval = 500 * kMillisecond;
/// Number of received handovers that are kept, to detect duplicates.
constexpr std::size_t kMaxReceivedHandovers = 4096;
} // namespace

void EntryCore::handOverRequests()
{
	std::vector<RequestId> ids;
	for (const auto& [id, request] : m_requests)
	{
		if (Phase::Finished != request->phase)
		{
			ids.push_back(id);
		}
	}
	std::sort(ids.begin(), ids.end());
	for (const RequestId id : ids)
	{
		handOverRequest(*m_requests.at(id));
	}
}

void EntryCore::handOverRequest(Request& _request)
{
	const bool running = Phase::Running == _request.phase;
	if (running || Phase::Queued == _request.phase)
	{
		if (_request.repeatable && m_now < m_stopBy)
		{
			sendHandover(_request);
		}
		else if (!running)
		{
			fail(_request, Failure::Stopping, Outcome::NotRun, "this entry is stopping");
		}
		else if (m_now >= m_stopBy)
		{
			fail(_request, Failure::OutcomeUnknown, Outcome::Unknown,
				 "this entry had to stop before the answer came");
		}
		return;
	}
	// The request is not executed here: the caller can reattach at any other entry.
	sendMoved(_request);
	conclude(_request, ExecutionResult::NotStarted);
}

void EntryCore::sendMoved(const Request& _request)
{
	for (const Subscriber& subscriber : _request.subscribers)
	{
		if (0 != subscriber.exchange)
		{
			m_out->push_back(AnswerMoved{subscriber.exchange, _request.callerKey, subscriber.next});
		}
	}
}

void EntryCore::sendHandover(Request& _request)
{
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	if (nullptr == roster || m_now < _request.nextOffer)
	{
		return;
	}
	std::vector<const RosterMember*> others;
	for (const RosterMember& member : roster->members)
	{
		if (member.entry != m_settings.self)
		{
			others.push_back(&member);
		}
	}
	if (others.empty())
	{
		return;
	}
	// Successive offers of a request go to different entries, and the requests are spread over all of them.
	const std::uint64_t offerIndex = static_cast<std::uint64_t>(m_now / kOfferInterval) + _request.id;
	const RosterMember& target = *others[offerIndex % others.size()];
	_request.nextOffer = m_now + kOfferInterval;
	RequestHandover handover;
	handover.number = _request.id;
	handover.team = m_catalog.at(_request.team).config.name;
	handover.service = m_catalog.at(_request.service).config.name;
	handover.callerKey = _request.callerKey;
	if (_request.claimed)
	{
		handover.released = ClaimRequestRef{m_settings.self, _request.claimNumber};
	}
	handover.payload = *_request.payload;
	handover.tokens = _request.tokens.from(0);
	handover.priority = _request.priority;
	handover.deadlineLeft = _request.deadline - m_now;
	sendPeer(target.entry, std::move(handover));
}

void EntryCore::onPeer(const EntryRef& _from, RequestHandover& _message)
{
	const std::pair<EntryRef, std::uint64_t> name{_from, _message.number};
	if (m_receivedHandovers.contains(name))
	{
		sendPeer(_from, HandoverAck{_message.number});
		return;
	}
	CallerRequest event;
	event.exchange = kHandedOverBit | m_nextClaimNumber++;
	event.service = _message.service;
	event.payload = std::make_shared<const CallPayload>(std::move(_message.payload));
	event.key = _message.callerKey;
	event.deadline = std::max<Micros>(_message.deadlineLeft, 1);
	event.priority = _message.priority;
	const TeamHandle team = m_catalog.findTeam(_message.team);
	const ServiceHandle service = m_catalog.findService(_message.service);
	if (m_stopping || !isValid(team) || !isValid(service))
	{
		return; // Without a confirmation the sender offers it to another entry.
	}
	std::unique_ptr<Request> created = makeRequest(event, team, service);
	Request& request = *created;
	request.handedOver = true;
	request.released = _message.released;
	for (const std::string& token : _message.tokens)
	{
		request.tokens.append(token);
	}
	m_requests.emplace(request.id, std::move(created));
	m_byKey.emplace(request.key, request.id);
	m_active += 1;
	m_deadlines.emplace(request.deadline, request.id);
	m_receivedHandovers.emplace(name, request.id);
	if (m_receivedHandovers.size() > kMaxReceivedHandovers)
	{
		m_receivedHandovers.erase(m_receivedHandovers.begin());
	}
	recordDecision(request, DecisionKind::Accepted, _from.id, 0, request.tokens.size());
	sendPeer(_from, HandoverAck{_message.number});
	requestClaim(request);
}

void EntryCore::onPeer(const EntryRef& _from, HandoverAck& _message)
{
	const auto it = m_requests.find(_message.number);
	if (m_requests.end() == it || Phase::Finished == it->second->phase)
	{
		return;
	}
	Request& request = *it->second;
	if (0 != request.attempt)
	{
		m_out->push_back(CancelAttempt{request.attempt});
		detachAttempt(request);
	}
	stateOf(request.service).queue.remove(request.team, queueItem(request));
	sendMoved(request);
	recordDecision(request, DecisionKind::Moved, _from.id, 0, request.tokens.size());
	m_stats.moves += 1;
	// The claim now belongs to the successor, which informs the home.
	request.claimed = false;
	request.handedOver = false;
	conclude(request, ExecutionResult::NotStarted);
}

} // namespace beacongate
