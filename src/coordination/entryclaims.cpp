// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Claims of EntryCore: requesting a claim from the home, attaching to an executor, and serving attachments.

#include "coordination/entrycore.h"

#include <utility>

namespace beacongate
{
namespace
{
/// Delay before a claim request that the home did not decide or answer is resent.
constexpr Micros kClaimRetryDelay = 50 * kMillisecond;
/// Delay before an attachment request is resent.
constexpr Micros kAttachRetryDelay = 500 * kMillisecond;
} // namespace

void EntryCore::on(PeerArrived& _event)
{
	std::visit([&](auto& _message) { onPeer(_event.from, _message); }, _event.message);
}

void EntryCore::requestClaim(Request& _request)
{
	_request.phase = Phase::AwaitClaim;
	m_byClaimNumber.erase(_request.claimNumber);
	_request.claimNumber = m_nextClaimNumber++;
	m_byClaimNumber.emplace(_request.claimNumber, _request.id);
	if (m_byKey.size() >= limits::kClaims)
	{
		abandonClaim(_request, Failure::ClaimsFull);
		return;
	}
	resendPeerRequest(_request);
}

void EntryCore::resendPeerRequest(Request& _request)
{
	if (Phase::Attached == _request.phase)
	{
		if (m_now >= _request.peerDeadline)
		{
			fail(_request, Failure::StillRunning, Outcome::Unknown, "the entry that runs this key did not answer");
			return;
		}
		const std::uint64_t next = _request.tokens.size();
		sendPeer(_request.executor.entry, AttachRequest{_request.attach, _request.key, _request.executor, next});
		_request.nextRetry = m_now + kAttachRetryDelay;
		m_peerRetries.emplace(_request.nextRetry, _request.id);
		return;
	}
	if (Phase::AwaitClaim != _request.phase)
	{
		return;
	}
	if (m_now >= _request.peerDeadline)
	{
		abandonClaim(_request, Failure::HomeUnreachable);
		return;
	}
	_request.nextRetry = m_now + kClaimRetryDelay;
	m_peerRetries.emplace(_request.nextRetry, _request.id);
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	const RosterMember* home = nullptr == roster ? nullptr : homeOf(_request.key, *roster);
	if (nullptr == home)
	{
		return;
	}
	ClaimRequest claimRequest;
	claimRequest.requestRef = ClaimRequestRef{m_settings.self, _request.claimNumber};
	claimRequest.key = _request.key;
	claimRequest.digest = _request.digest;
	claimRequest.rosterVersion = roster->version;
	claimRequest.issuedVersion = _request.issuedVersion;
	claimRequest.released = _request.released;
	recordDecision(_request, DecisionKind::AskedHome, home->entry.id);
	if (home->entry == m_settings.self)
	{
		ClaimReply reply = m_home.onClaimRequest(claimRequest, m_now);
		onPeer(m_settings.self, reply);
		return;
	}
	sendPeer(home->entry, std::move(claimRequest));
}

void EntryCore::abandonClaim(Request& _request, Failure _failure)
{
	m_byClaimNumber.erase(_request.claimNumber);
	if (_request.repeatable)
	{
		// For a repeatable request the claim only avoids duplicate work, so the request runs without one.
		enqueue(_request);
		return;
	}
	const bool suspect = Failure::OutcomeUnknown == _failure;
	fail(_request, _failure, failureInfo(_failure).outcome,
		 suspect ? "an entry that was lost may have run this key" : "the home of this key did not grant it");
}

void EntryCore::onPeer(const EntryRef& _from, ClaimRequest& _message)
{
	sendPeer(_from, m_home.onClaimRequest(_message, m_now));
}

void EntryCore::onPeer(const EntryRef& _from, ClaimReply& _message)
{
	const auto it = m_byClaimNumber.find(_message.requestRef.number);
	if (m_byClaimNumber.end() == it || _message.requestRef.entry != m_settings.self)
	{
		// The claim request was abandoned: nothing will start under it, so the grant is released.
		if (ClaimVerdict::Granted == _message.verdict && _message.requestRef.entry == m_settings.self)
		{
			const Request* owner = findByKey(_message.key);
			if (nullptr == owner || owner->claimNumber != _message.requestRef.number)
			{
				sendPeer(_from, ClaimUpdate{_message.key, _message.requestRef, ExecutionResult::NotStarted, {}});
			}
		}
		return;
	}
	Request& request = *m_requests.at(it->second);
	switch (_message.verdict)
	{
	case ClaimVerdict::Granted:
		m_byClaimNumber.erase(it);
		request.claimed = true;
		request.claimGeneration = _message.claim.generation;
		request.nextRetry = kNever;
		m_byKey[request.key] = request.id;
		recordDecision(request, DecisionKind::ClaimGranted, _from.id);
		enqueue(request);
		return;
	case ClaimVerdict::Held:
		onHeld(request, _message.claim);
		return;
	case ClaimVerdict::Suspect:
		abandonClaim(request, Failure::OutcomeUnknown);
		return;
	case ClaimVerdict::Full:
		abandonClaim(request, Failure::ClaimsFull);
		return;
	case ClaimVerdict::Mismatch:
		fail(request, Failure::KeyReused, Outcome::NotRun, "the key was used for another request");
		return;
	case ClaimVerdict::NotHome:
	case ClaimVerdict::NotReady:
		return; // The request is resent after kClaimRetryDelay.
	}
}

void EntryCore::onHeld(Request& _request, const Claim& _claim)
{
	if (ClaimState::Unknown == _claim.state)
	{
		abandonClaim(_request, Failure::OutcomeUnknown);
		return;
	}
	if (_claim.executor.entry == m_settings.self)
	{
		Request* executing = findByKey(_request.key);
		if (nullptr != executing && executing->claimNumber == _claim.executor.number)
		{
			joinLocal(_request, *executing);
			return;
		}
		const auto waiting = m_byClaimNumber.find(_claim.executor.number);
		if (m_byClaimNumber.end() != waiting && waiting->second != _request.id)
		{
			return; // Another request of this entry holds the grant; its reply is still in flight.
		}
		_request.released = _claim.executor;
		requestClaim(_request);
		return;
	}
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	if (nullptr == roster->findRun(_claim.executor.entry))
	{
		const bool done = ClaimState::Done == _claim.state;
		const Failure failure = done ? Failure::AnswerNotKept : Failure::OutcomeUnknown;
		abandonClaim(_request, failure);
		return;
	}
	attachTo(_request, _claim.executor);
}

void EntryCore::attachTo(Request& _request, const ClaimRequestRef& _executor)
{
	m_byClaimNumber.erase(_request.claimNumber);
	_request.phase = Phase::Attached;
	_request.executor = _executor;
	_request.attach = m_nextAttach++;
	_request.peerDeadline = std::min(_request.deadline, m_now + limits::kClaimTimeout);
	m_byAttach.emplace(_request.attach, _request.id);
	recordDecision(_request, DecisionKind::AttachedTo, _executor.entry.id);
	resendPeerRequest(_request);
}

void EntryCore::joinLocal(Request& _request, Request& _executing)
{
	if (_request.digest != _executing.digest)
	{
		fail(_request, Failure::KeyReused, Outcome::NotRun, "the key was used for another request");
		return;
	}
	recordDecision(_request, DecisionKind::AttachedTo, m_settings.self.id, 0, _executing.tokens.size());
	if (Phase::Finished != _executing.phase)
	{
		for (const Subscriber& subscriber : _request.subscribers)
		{
			subscribe(_executing, subscriber);
		}
		_request.subscribers.clear();
		m_byClaimNumber.erase(_request.claimNumber);
		m_active -= 1;
		erase(_request);
		deliver(_executing);
		return;
	}
	if (ExecutionResult::Done != _executing.result)
	{
		fail(_request, Failure::OutcomeUnknown, Outcome::Unknown, "this key ran and its outcome is not known");
		return;
	}
	if (!_executing.answer.has_value())
	{
		fail(_request, Failure::AnswerNotKept, Outcome::Done, "this key ran; its answer is no longer kept");
		return;
	}
	_request.answer = _executing.answer;
	_request.tokens = _executing.tokens;
	deliver(_request);
	conclude(_request, ExecutionResult::Done);
}

void EntryCore::onPeer(const EntryRef& _from, ClaimUpdate& _message)
{
	m_home.onClaimUpdate(_message);
	if (!_message.answer.has_value() || nullptr != findByKey(_message.key))
	{
		return;
	}
	const ClaimRequestRef own{m_settings.self, m_nextClaimNumber++};
	if (!m_home.reassign(_message.key, _message.executor, own))
	{
		return;
	}
	auto takenOver = std::make_unique<Request>();
	takenOver->id = kHandedOverBit | own.number;
	takenOver->key = _message.key;
	takenOver->claimNumber = own.number;
	takenOver->claimed = true;
	takenOver->arrived = m_now;
	takenOver->digest = m_home.digestOf(_message.key);
	takenOver->phase = Phase::Finished;
	takenOver->result = ExecutionResult::Done;
	for (const std::string& token : _message.answer->tokens)
	{
		takenOver->tokens.append(token);
	}
	takenOver->answer = std::move(_message.answer);
	takenOver->answer->tokens.clear();
	recordDecision(*takenOver, DecisionKind::Finished, _from.id, 0, takenOver->tokens.size());
	Request& request = *takenOver;
	m_byKey[request.key] = request.id;
	m_requests.emplace(request.id, std::move(takenOver));
	keepAnswer(request);
}

void EntryCore::onPeer(const EntryRef& _from, Seal& _message)
{
	if (m_home.onSeal(_from, _message, m_now))
	{
		sendPeer(_from, SealAck{_message.version});
	}
}

void EntryCore::onPeer(const EntryRef& _from, SealAck& _message)
{
	m_home.onSealAck(_from, _message.version);
}

void EntryCore::onPeer(const EntryRef& _from, AttachRequest& _message)
{
	AttachEnd end;
	end.attach = _message.attach;
	if (_message.executor.entry != m_settings.self)
	{
		sendPeer(_from, std::move(end));
		return;
	}
	Request* request = findByKey(_message.key);
	if (nullptr == request || request->claimNumber != _message.executor.number)
	{
		const auto waiting = m_byClaimNumber.find(_message.executor.number);
		request = m_byClaimNumber.end() == waiting ? nullptr : m_requests.at(waiting->second).get();
	}
	if (nullptr == request)
	{
		end.result = ExecutionResult::NotStarted;
		sendPeer(_from, std::move(end));
		return;
	}
	std::erase_if(request->subscribers, [&](const Subscriber& _s)
				  { return _s.peer == _from && _s.attach == _message.attach && 0 == _s.exchange; });
	Subscriber subscriber{0, _from, _message.attach, _message.offset};
	if (_message.offset >= request->tokens.size())
	{
		sendPeer(_from, AttachTokens{_message.attach, _message.offset, {}}); // Confirms the attachment.
	}
	request->subscribers.push_back(subscriber);
	deliver(*request);
	if (Phase::Finished == request->phase)
	{
		sendEnd(*request, request->subscribers.back());
		request->subscribers.clear();
	}
}

void EntryCore::onPeer(const EntryRef& _from, AttachTokens& _message)
{
	Request* request = findAttached(_message.attach);
	if (nullptr == request || request->executor.entry != _from)
	{
		m_stats.framesDropped += 1;
		return;
	}
	request->peerDeadline = std::min(request->deadline, m_now + limits::kClaimTimeout);
	const std::uint64_t known = request->tokens.size();
	if (_message.offset > known)
	{
		return; // A message was lost; the next resend requests the missing tokens.
	}
	for (std::uint64_t ii = known - _message.offset; ii < _message.tokens.size(); ++ii)
	{
		request->tokens.append(_message.tokens[ii]);
	}
	deliver(*request);
}

void EntryCore::onPeer(const EntryRef& _from, AttachEnd& _message)
{
	Request* request = findAttached(_message.attach);
	if (nullptr == request || request->executor.entry != _from)
	{
		m_stats.framesDropped += 1;
		return;
	}
	if (ExecutionResult::NotStarted == _message.result)
	{
		m_byAttach.erase(request->attach);
		request->released = request->executor;
		request->peerDeadline = std::min(request->deadline, m_now + limits::kClaimTimeout);
		requestClaim(*request);
		return;
	}
	if (ExecutionResult::Unknown == _message.result)
	{
		fail(*request, Failure::OutcomeUnknown, Outcome::Unknown, "this key ran and its outcome is not known");
		return;
	}
	if (!_message.kept)
	{
		fail(*request, Failure::AnswerNotKept, Outcome::Done, "this key ran; its answer is no longer kept");
		return;
	}
	if (_message.answer.model && _message.tokenCount != request->tokens.size())
	{
		return; // Tokens were lost; the next resend requests them.
	}
	request->answer = std::move(_message.answer);
	conclude(*request, ExecutionResult::Done);
}

void EntryCore::reportResult(const Request& _request, ExecutionResult _result)
{
	const ClaimUpdate update{_request.key, ClaimRequestRef{m_settings.self, _request.claimNumber}, _result, {}};
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	const RosterMember* home = nullptr == roster ? nullptr : homeOf(_request.key, *roster);
	m_home.onClaimUpdate(update);
	if (nullptr != home && home->entry != m_settings.self)
	{
		sendPeer(home->entry, update);
	}
}

void EntryCore::adoptRoster(const std::shared_ptr<const Roster>& _roster)
{
	std::vector<Addressed> seals = m_home.adopt(_roster, executedClaims(), m_now);
	sendAll(seals);
	m_sealRetryDelay = limits::kSealRetry;
	m_nextSealSend = m_now + m_sealRetryDelay;
	m_answersHandedOver = false;
}

std::vector<Claim> EntryCore::executedClaims() const
{
	std::vector<Claim> claims;
	for (const auto& [key, id] : m_byKey)
	{
		const Request& request = *m_requests.at(id);
		Claim claim{key, request.digest, ClaimRequestRef{m_settings.self, request.claimNumber}, ClaimState::Granted,
					request.claimGeneration};
		if (Phase::Finished == request.phase)
		{
			claim.state = ExecutionResult::Done == request.result ? ClaimState::Done : ClaimState::Unknown;
		}
		claims.push_back(std::move(claim));
	}
	return claims;
}

void EntryCore::handOverAnswers()
{
	m_answersHandedOver = true;
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	if (nullptr == roster || nullptr != roster->findMember(m_settings.self.id))
	{
		m_answersHandedOver = false; // Deferred until the roster no longer lists this run as a member.
		return;
	}
	for (const auto& [key, id] : m_byKey)
	{
		const Request& request = *m_requests.at(id);
		const RosterMember* home = homeOf(key, *roster);
		if (nullptr == home || ExecutionResult::Done != request.result || !request.answer.has_value())
		{
			continue;
		}
		ClaimUpdate update{key, ClaimRequestRef{m_settings.self, request.claimNumber}, ExecutionResult::Done,
						   request.answer};
		update.answer->tokens = request.tokens.from(0);
		sendPeer(home->entry, std::move(update));
	}
}

void EntryCore::sendPeer(const EntryRef& _to, PeerMessage _message)
{
	const std::shared_ptr<const Roster>& roster = m_home.roster();
	const RosterMember* member = nullptr == roster ? nullptr : roster->findRun(_to);
	if (nullptr != member)
	{
		m_out->push_back(SendPeer{_to, member->peerAddress, std::move(_message)});
	}
}

void EntryCore::sendAll(std::vector<Addressed>& _messages)
{
	for (Addressed& item : _messages)
	{
		sendPeer(item.to, std::move(item.message));
	}
}

Request* EntryCore::findByKey(const std::string& _key)
{
	const auto it = m_byKey.find(_key);
	return m_byKey.end() == it ? nullptr : m_requests.at(it->second).get();
}

Request* EntryCore::findAttached(std::uint64_t _attach)
{
	const auto it = m_byAttach.find(_attach);
	return m_byAttach.end() == it ? nullptr : m_requests.at(it->second).get();
}

} // namespace beacongate
