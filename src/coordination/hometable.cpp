// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/hometable.h"

#include "beacongate/limits.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Number of adopted rosters that are kept, to prove that a key's home did not change.
constexpr std::size_t kMaxEpochs = 64;
/// Number of roster versions newer than the one in force of which seals are kept.
constexpr std::size_t kMaxEarlySealVersions = 16;
} // namespace

HomeTable::HomeTable(EntryRef _self) : m_self(std::move(_self))
{
}

std::vector<Addressed> HomeTable::adopt(const std::shared_ptr<const Roster>& _roster,
										const std::vector<Claim>& _executed, Micros _now)
{
	const bool newer = m_epochs.empty() || m_epochs.back().roster->version < _roster->version;
	if (!newer)
	{
		return {};
	}
	m_epochs.push_back(Epoch{_roster, false});
	if (m_epochs.size() > kMaxEpochs)
	{
		m_epochs.erase(m_epochs.begin());
	}
	m_executed = _executed;
	for (const Claim& claim : _executed)
	{
		if (isHome(claim.key, *_roster))
		{
			mergeClaim(claim, _now);
		}
	}
	markShared();
	m_sealsMissing.clear();
	m_acksMissing.clear();
	if (nullptr != _roster->findRun(m_self))
	{
		for (const EntryRef& entry : _roster->liveEntries())
		{
			if (entry != m_self)
			{
				m_sealsMissing.insert(entry);
				m_acksMissing.insert(entry);
			}
		}
		for (const EntryRef& entry : m_earlySeals[_roster->version])
		{
			m_sealsMissing.erase(entry);
		}
		checkComplete();
	}
	m_earlySeals.erase(m_earlySeals.begin(), m_earlySeals.upper_bound(_roster->version));
	markLostExecutors();
	return unconfirmedSeals();
}

ClaimReply HomeTable::onClaimRequest(const ClaimRequest& _request, Micros _now)
{
	ClaimReply reply;
	reply.requestRef = _request.requestRef;
	reply.key = _request.key;
	reply.rosterVersion = m_epochs.empty() ? 0 : m_epochs.back().roster->version;
	if (m_epochs.empty() || _request.issuedVersion > reply.rosterVersion)
	{
		reply.verdict = ClaimVerdict::NotReady;
		return reply;
	}
	if (!isHome(_request.key, *m_epochs.back().roster))
	{
		reply.verdict = ClaimVerdict::NotHome;
		return reply;
	}
	if (!isEstablished(_request.key))
	{
		reply.verdict = ClaimVerdict::NotReady;
		return reply;
	}
	const auto known = m_claims.find(_request.key);
	if (m_claims.end() == known)
	{
		if (isSuspect(_request))
		{
			reply.verdict = ClaimVerdict::Suspect;
			return reply;
		}
		if (m_claims.size() >= limits::kClaims)
		{
			reply.verdict = ClaimVerdict::Full;
			return reply;
		}
		return grant(_request, reply, 0, _now);
	}
	const Claim& claim = known->second.claim;
	reply.claim = claim;
	if (claim.digest != _request.digest)
	{
		reply.verdict = ClaimVerdict::Mismatch;
		return reply;
	}
	if (!isFree(claim, _request))
	{
		const bool repeated = claim.executor == _request.requestRef && ClaimState::Granted == claim.state;
		reply.verdict = repeated ? ClaimVerdict::Granted : ClaimVerdict::Held;
		return reply;
	}
	if (isSuspect(_request))
	{
		// The copy of the claim may be older than a later grant by a lost home.
		reply.verdict = ClaimVerdict::Suspect;
		return reply;
	}
	return grant(_request, reply, claim.generation + 1, _now);
}

ClaimReply HomeTable::grant(const ClaimRequest& _request, ClaimReply _reply, std::uint64_t _generation, Micros _now)
{
	const auto [it, added] = m_claims.try_emplace(_request.key);
	if (added)
	{
		m_expiry.emplace_back(_now + limits::kClaimWindow, _request.key);
	}
	ClaimRecord& record = it->second;
	record.claim = Claim{_request.key, _request.digest, _request.requestRef, ClaimState::Granted, _generation};
	_reply.claim = record.claim;
	_reply.verdict = ClaimVerdict::Granted;
	return _reply;
}

void HomeTable::onClaimUpdate(const ClaimUpdate& _update)
{
	const auto known = m_claims.find(_update.key);
	if (m_claims.end() == known || known->second.claim.executor != _update.executor)
	{
		return;
	}
	ClaimRecord& record = known->second;
	switch (_update.result)
	{
	case ExecutionResult::NotStarted:
		record.claim.state = ClaimState::Released;
		if (!record.shared)
		{
			m_claims.erase(known);
		}
		break;
	case ExecutionResult::Done:
		record.claim.state = ClaimState::Done;
		break;
	case ExecutionResult::Unknown:
		record.claim.state = ClaimState::Unknown;
		break;
	}
}

bool HomeTable::reassign(const std::string& _key, const ClaimRequestRef& _old, const ClaimRequestRef& _new)
{
	const auto known = m_claims.find(_key);
	if (m_claims.end() == known || known->second.claim.executor != _old)
	{
		return false;
	}
	known->second.claim.executor = _new;
	known->second.claim.generation += 1;
	return true;
}

bool HomeTable::onSeal(const EntryRef& _from, const Seal& _seal, Micros _now)
{
	const std::uint64_t own = m_epochs.empty() ? 0 : m_epochs.back().roster->version;
	for (const Claim& claim : _seal.claims)
	{
		mergeClaim(claim, _now);
	}
	if (_seal.version < own)
	{
		return false;
	}
	if (_seal.version > own)
	{
		m_earlySeals[_seal.version].insert(_from);
		if (m_earlySeals.size() > kMaxEarlySealVersions)
		{
			m_earlySeals.erase(m_earlySeals.begin());
		}
		return false;
	}
	m_sealsMissing.erase(_from);
	checkComplete();
	return true;
}

void HomeTable::expire(Micros _now)
{
	while (!m_expiry.empty() && m_expiry.front().first <= _now)
	{
		m_claims.erase(m_expiry.front().second);
		m_expiry.pop_front();
	}
}

void HomeTable::onSealAck(const EntryRef& _from, std::uint64_t _version)
{
	if (!m_epochs.empty() && m_epochs.back().roster->version == _version)
	{
		m_acksMissing.erase(_from);
	}
}

std::vector<Addressed> HomeTable::unconfirmedSeals() const
{
	if (m_acksMissing.empty())
	{
		return {};
	}
	// A single pass over the claims, since finding a home hashes once per member and there may be many claims.
	const Roster& roster = *m_epochs.back().roster;
	std::map<EntryRef, Seal> byHome;
	for (const EntryRef& entry : m_acksMissing)
	{
		byHome[entry].version = roster.version;
	}
	const auto add = [&](const Claim& _claim)
	{
		const RosterMember* home = homeOf(_claim.key, roster);
		const auto it = nullptr == home ? byHome.end() : byHome.find(home->entry);
		if (byHome.end() != it)
		{
			it->second.claims.push_back(_claim);
		}
	};
	for (const auto& [key, record] : m_claims)
	{
		add(record.claim);
	}
	std::for_each(m_executed.begin(), m_executed.end(), add);
	std::vector<Addressed> seals;
	seals.reserve(byHome.size());
	for (auto& [entry, seal] : byHome)
	{
		seals.push_back(Addressed{entry, std::move(seal)});
	}
	return seals;
}

void HomeTable::markLostExecutors()
{
	std::set<EntryRef> lost;
	for (const LostMember& member : m_epochs.back().roster->lost)
	{
		lost.insert(member.entry);
	}
	if (lost.empty())
	{
		return;
	}
	for (auto& [key, record] : m_claims)
	{
		if (ClaimState::Granted == record.claim.state && lost.contains(record.claim.executor.entry))
		{
			record.claim.state = ClaimState::Unknown;
		}
	}
}

bool HomeTable::complete() const
{
	return !m_epochs.empty() && m_epochs.back().complete;
}

bool HomeTable::confirmed() const
{
	return m_acksMissing.empty();
}

const std::shared_ptr<const Roster>& HomeTable::roster() const
{
	static const std::shared_ptr<const Roster> s_none;
	return m_epochs.empty() ? s_none : m_epochs.back().roster;
}

std::uint64_t HomeTable::digestOf(const std::string& _key) const
{
	const auto known = m_claims.find(_key);
	return m_claims.end() == known ? 0 : known->second.claim.digest;
}

std::size_t HomeTable::size() const
{
	return m_claims.size();
}

std::size_t HomeTable::bytes() const
{
	std::size_t sum = 0;
	for (const auto& [key, record] : m_claims)
	{
		sum += sizeof(ClaimRecord) + 2 * key.capacity() + record.claim.executor.entry.id.capacity();
	}
	return sum;
}

bool HomeTable::isHome(std::string_view _key, const Roster& _roster) const
{
	const RosterMember* home = homeOf(_key, _roster);
	return nullptr != home && home->entry == m_self;
}

bool HomeTable::isEstablished(std::string_view _key) const
{
	return isOwnedSinceBefore(_key, kNever);
}

bool HomeTable::isOwnedSinceBefore(std::string_view _key, std::uint64_t _version) const
{
	for (auto it = m_epochs.rbegin(); m_epochs.rend() != it; ++it)
	{
		if (!isHome(_key, *it->roster))
		{
			return false;
		}
		if (it->complete && it->roster->version < _version)
		{
			return true;
		}
	}
	return false;
}

bool HomeTable::isSuspect(const ClaimRequest& _request) const
{
	const Roster& roster = *m_epochs.back().roster;
	for (const LostMember& lost : roster.lost)
	{
		const bool issuedAfter = _request.issuedVersion >= lost.lostVersion;
		if (!issuedAfter && mayHaveBeenHome(_request.key, lost, roster) &&
			!isOwnedSinceBefore(_request.key, lost.lostVersion))
		{
			return true;
		}
	}
	return false;
}

bool HomeTable::isFree(const Claim& _claim, const ClaimRequest& _request)
{
	if (ClaimState::Released == _claim.state)
	{
		return true;
	}
	const bool releasedByHolder = _request.released.has_value() && *_request.released == _claim.executor;
	return releasedByHolder && ClaimState::Granted == _claim.state;
}

void HomeTable::mergeClaim(const Claim& _claim, Micros _now)
{
	const auto [it, added] = m_claims.try_emplace(_claim.key, ClaimRecord{_claim, true});
	ClaimRecord& record = it->second;
	record.shared = true;
	if (added)
	{
		m_expiry.emplace_back(_now + limits::kClaimWindow, _claim.key);
		return;
	}
	const bool newer = _claim.generation > record.claim.generation;
	const bool furtherAlong =
		_claim.generation == record.claim.generation && ClaimState::Granted == record.claim.state;
	if (newer || furtherAlong)
	{
		record.claim = _claim;
	}
}

void HomeTable::markShared()
{
	const Roster& roster = *m_epochs.back().roster;
	for (auto& [key, record] : m_claims)
	{
		record.shared = record.shared || !isHome(key, roster);
	}
}

void HomeTable::checkComplete()
{
	if (m_sealsMissing.empty() && nullptr != m_epochs.back().roster->findRun(m_self))
	{
		m_epochs.back().complete = true;
	}
}

} // namespace beacongate
