// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/slotpermits.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace beacongate
{
namespace
{
/// Longest interval between two polls of a waiting request while this process runs. A longer one is a stall of this
/// process, in which no answer could be read, and does not count as waiting.
constexpr Micros kMaxPollInterval = 50 * kMillisecond;
} // namespace

void SlotPermits::setMembers(const std::set<MemberRecord>& _members)
{
	m_homes.setMembers(_members);
	m_memberCount = std::max<std::size_t>(1, _members.size());
	for (auto& [key, server] : m_servers)
	{
		server.homes.clear();
	}
}

SlotPermits::Server& SlotPermits::serverOf(BackendKey _key)
{
	Server& server = m_servers[_key];
	if (server.homes.empty())
	{
		server.homes = m_homes.of(_key.value, kHomes);
	}
	return server;
}

SlotUse SlotPermits::useOf(BackendKey _key, Server& _server, const std::string& _home, Micros _now) const
{
	std::erase_if(_server.abandonedUntil, [_now](Micros _until) { return _until <= _now; });
	const auto abandoned = static_cast<unsigned>(_server.abandonedUntil.size());
	return {_key, m_loads.ownOccupying(_key) + abandoned + _server.unplaced,
			_home == _server.grantor ? _server.lastGrant : 0};
}

SlotVerdict SlotPermits::take(SlotTicket& _ticket, const SlotNeed& _need, Micros _now, Decided _decided)
{
	if (_ticket.id != 0 && _ticket.backend != _need.backend)
	{
		abandon(_ticket, _now);
	}
	if (_ticket.id == 0)
	{
		_ticket = {++m_lastId, _need.backend};
		Pending& pending = m_pending[_ticket.id];
		pending.need = _need;
		pending.decided = std::move(_decided);
		pending.polledAt = _now;
		findHomes(pending, _now);
		askNext(_ticket.id, pending, _now);
	}
	Pending& pending = m_pending.at(_ticket.id);
	poll(_ticket.id, pending, _now);
	if (pending.state == State::Asked || pending.state == State::Queued)
	{
		return SlotVerdict::Pending;
	}
	const bool granted = pending.state == State::Granted;
	Server& server = serverOf(_need.backend);
	if (granted)
	{
		onPlaced(server);
		_ticket.paced = pending.need.limit.has_value();
		_ticket.grantor = pending.granted;
	}
	else
	{
		server.passedOverUntil = _now + std::max(kDeniedSpan, pending.wait);
		server.atLimit = pending.need.limit && (pending.wait > 0 || !pending.need.rejections);
	}
	m_pending.erase(std::exchange(_ticket.id, 0));
	return granted ? SlotVerdict::Granted : SlotVerdict::Denied;
}

void SlotPermits::findHomes(Pending& _pending, Micros _now)
{
	Server& server = serverOf(_pending.need.backend);
	std::erase_if(server.startingUntil, [_now](const auto& _entry) { return _entry.second <= _now; });
	for (const std::string& home : server.homes)
	{
		if (isSilent(home, _now))
		{
			continue;
		}
		const auto starting = server.startingUntil.find(home);
		const bool refers = starting != server.startingUntil.end();
		refers ? _pending.starting.push_back({starting->second, home}) : _pending.homes.push_back(home);
	}
}

void SlotPermits::onReferred(const std::string& _host, const SlotAnswer& _answer, Pending& _pending, Micros _now)
{
	const Micros until = _now + _answer.wait;
	serverOf(_answer.backend).startingUntil[_host] = until;
	_pending.insists ? void() : void(_pending.starting.emplace_back(until, _host));
	askNext(_answer.id, _pending, _now);
}

bool SlotPermits::isQueued(const SlotTicket& _ticket) const
{
	const auto pending = m_pending.find(_ticket.id);
	return pending != m_pending.end() && pending->second.state == State::Queued;
}

bool SlotPermits::isAsked(const SlotTicket& _ticket) const
{
	const auto pending = m_pending.find(_ticket.id);
	return pending != m_pending.end() && pending->second.state == State::Asked;
}

Micros SlotPermits::patienceOf(const SlotNeed& _need)
{
	return std::min(_need.patience, _need.limit ? kMaxPacedPatience : kMaxPatience);
}

Micros SlotPermits::answerTimeout(const SlotNeed& _need)
{
	return _need.prompts ? std::clamp(_need.patience / 2, kMinAnswerTimeout, kAnswerTimeout) : kAnswerTimeout;
}

void SlotPermits::onPlaced(Server& _server)
{
	// The entry is new, without grants, if the server was removed from the list meanwhile.
	_server.unplaced -= std::min(_server.unplaced, 1u);
}

void SlotPermits::askNext(std::uint64_t _id, Pending& _pending, Micros _now)
{
	_pending.waited = 0;
	_pending.resent = false;
	_pending.state = State::Asked;
	_pending.askedAt = _now;
	if (_pending.nextHome == _pending.homes.size() && !_pending.insists)
	{
		// The home that was the first to hear of the server knows most of what is in use.
		std::sort(_pending.starting.begin(), _pending.starting.end());
		for (const auto& [until, home] : _pending.starting)
		{
			_pending.homes.push_back(home);
		}
		_pending.insists = true;
	}
	if (_pending.nextHome == _pending.homes.size())
	{
		decideAlone(_pending, _now);
		return;
	}
	const std::string home = _pending.homes[_pending.nextHome++];
	ask(_id, _pending, home, _now);
}

void SlotPermits::ask(std::uint64_t _id, const Pending& _pending, const std::string& _home, Micros _now)
{
	const SlotNeed& need = _pending.need;
	const SlotRequest request{_id,           useOf(need.backend, serverOf(need.backend), _home, _now),
							  need.slots,    need.rejections,
							  need.priority, patienceOf(need),
							  need.limit,    _pending.insists};
	if (_home == m_host)
	{
		const unsigned reported = need.prompts ? 0 : m_loads.totalInFlight(need.backend);
		const SlotAnswer answer = m_grantor.decide(request, m_host, reported, _now);
		Pending& pending = m_pending.at(_id);
		answer.outcome == SlotOutcome::Referred ? onReferred(m_host, answer, pending, _now)
												: apply(pending, m_host, answer);
		return;
	}
	m_send(_home, request);
}

void SlotPermits::poll(std::uint64_t _id, Pending& _pending, Micros _now)
{
	_pending.waited += std::min(_now - std::exchange(_pending.polledAt, _now), kMaxPollInterval);
	if (_pending.state == State::Queued && _pending.waited > patienceOf(_pending.need) + kAnswerTimeout)
	{
		_pending.state = State::Denied;
	}
	if (_pending.state != State::Asked && _pending.state != State::Queued)
	{
		return;
	}
	const std::string home = _pending.homes[_pending.nextHome - 1];
	if (_pending.state == State::Queued)
	{
		home == m_host ? m_grantor.advance(_now) : void();
		return;
	}
	const Micros timeout = answerTimeout(_pending.need);
	if (_pending.waited > timeout)
	{
		noteSilence(home, _now);
		askNext(_id, _pending, _now);
	}
	else if (!_pending.resent && _pending.waited > std::min(kResendDelay, timeout / 2))
	{
		_pending.resent = true;
		ask(_id, _pending, home, _now);
	}
}

void SlotPermits::noteSilence(const std::string& _host, Micros _now)
{
	Silence& silence = m_silent[_host];
	if (silence.until <= _now)
	{
		silence.span = std::clamp(2 * silence.span, kSilentSpan, kMaxSilentSpan);
		silence.until = _now + silence.span;
	}
}

void SlotPermits::decideAlone(Pending& _pending, Micros _now)
{
	const SlotNeed& need = _pending.need;
	bool allowed = !need.rejections || hasShareLeft(need);
	if (allowed && need.limit)
	{
		_pending.wait = m_takeTurn ? m_takeTurn(need.backend) : 0;
		allowed = _pending.wait == 0;
	}
	_pending.state = allowed ? State::Granted : State::Denied;
	if (!allowed)
	{
		return;
	}
	Server& server = serverOf(need.backend);
	++server.unplaced;
	// The homes may be slow and not gone.
	const GrantNotice notice{need.backend, m_host, useOf(need.backend, server, "", _now).inFlight, need.limit};
	m_grantor.onNotice(notice, _now);
	tellHomes(notice, _now);
}

void SlotPermits::tellHomes(const GrantNotice& _notice, Micros _now)
{
	for (const std::string& home : toldHomes(serverOf(_notice.backend), "", _now))
	{
		home != m_host ? m_send(home, _notice) : void();
	}
}

void SlotPermits::onHeard(const std::string& _host)
{
	m_silent.erase(_host);
}

bool SlotPermits::isSilent(const std::string& _host, Micros _now) const
{
	const auto silence = m_silent.find(_host);
	return silence != m_silent.end() && silence->second.until > _now;
}

void SlotPermits::onLimitEnded(BackendKey _key)
{
	const auto server = m_servers.find(_key);
	if (server != m_servers.end() && server->second.atLimit)
	{
		server->second.passedOverUntil = 0;
		server->second.atLimit = false;
	}
}

bool SlotPermits::hasShareLeft(const SlotNeed& _need) const
{
	const auto share = std::max<std::size_t>(1, _need.slots / m_memberCount);
	const bool fullByReports = !_need.prompts && m_loads.totalInFlight(_need.backend) >= _need.slots;
	return m_loads.ownOccupying(_need.backend) < share && !fullByReports;
}

void SlotPermits::apply(Pending& _pending, const std::string& _host, const SlotAnswer& _answer)
{
	Server& server = serverOf(_pending.need.backend);
	if (server.grantor != _host)
	{
		server.grantor = _host;
		server.lastGrant = 0;
	}
	switch (_answer.outcome)
	{
	case SlotOutcome::Granted:
		server.lastGrant = std::max(server.lastGrant, _answer.grant);
		++server.unplaced;
		_pending.state = State::Granted;
		_pending.granted = _host;
		noteGrant(_host, _answer.id);
		break;
	case SlotOutcome::Queued:
		_pending.state = State::Queued;
		_pending.waited = 0;
		break;
	case SlotOutcome::Referred: // Another home is asked instead, see onReferred().
		break;
	case SlotOutcome::Denied:
		_pending.state = State::Denied;
		_pending.wait = _answer.wait;
		break;
	}
}

void SlotPermits::onAnswer(const std::string& _host, const SlotAnswer& _answer, Micros _now)
{
	onHeard(_host);
	const auto found = m_pending.find(_answer.id);
	const bool waits = found != m_pending.end() &&
					   (found->second.state == State::Asked || found->second.state == State::Queued) &&
					   found->second.homes[found->second.nextHome - 1] == _host;
	if (!waits)
	{
		_answer.outcome == SlotOutcome::Granted ? onUnusedGrant(_host, _answer, _now) : void();
		return;
	}
	Pending& pending = found->second;
	const bool tooOld = pending.need.limit && _now - pending.askedAt > kMaxPacedPatience + kAnswerTimeout;
	if (tooOld && _answer.outcome == SlotOutcome::Granted)
	{
		pending.state = State::Denied;
		onUnusedGrant(_host, _answer, _now);
		return;
	}
	_answer.outcome == SlotOutcome::Referred ? onReferred(_host, _answer, pending, _now)
											 : apply(pending, _host, _answer);
	if (pending.state == State::Granted || pending.state == State::Denied)
	{
		// The callback may erase the pending request, so it is copied first.
		const Decided call = pending.decided;
		call();
	}
}

void SlotPermits::onUnusedGrant(const std::string& _host, const SlotAnswer& _answer, Micros _now)
{
	Server& server = serverOf(_answer.backend);
	server.lastGrant = server.grantor == _host ? std::max(server.lastGrant, _answer.grant) : server.lastGrant;
	sendReport(_answer.backend, std::nullopt, _now);
	noteGrant(_host, _answer.id) ? returnGrant(_answer.backend, _host, _now) : void();
}

bool SlotPermits::noteGrant(const std::string& _grantor, std::uint64_t _request)
{
	constexpr std::size_t kNoted = 256; ///< An answer that arrives twice does so within a moment.
	const std::pair<std::string, std::uint64_t> grant{_grantor, _request};
	if (std::find(m_granted.begin(), m_granted.end(), grant) != m_granted.end())
	{
		return false;
	}
	m_granted.push_back(grant);
	m_granted.size() > kNoted ? m_granted.pop_front() : void();
	return true;
}

void SlotPermits::returnGrant(BackendKey _key, const std::string& _grantor, Micros _now)
{
	Server& server = serverOf(_key);
	for (const std::string& home : toldHomes(server, _grantor, _now))
	{
		SlotReport report{useOf(_key, server, home, _now), false};
		report.unused = true;
		sendTo(home, report, _now);
	}
}

std::vector<std::string> SlotPermits::toldHomes(const Server& _server, const std::string& _more, Micros _now) const
{
	std::vector<std::string> homes;
	std::size_t answering = 0;
	for (auto home = _server.homes.begin(); home != _server.homes.end() && answering < kReported; ++home)
	{
		homes.push_back(*home);
		answering += isSilent(*home, _now) ? 0 : 1;
	}
	if (!_more.empty() && std::find(homes.begin(), homes.end(), _more) == homes.end())
	{
		homes.push_back(_more);
	}
	return homes;
}

const KnownBackend* SlotPermits::waitsFor(SlotTicket& _ticket, const Availability& _available, Micros _now)
{
	if (_ticket.id == 0)
	{
		return nullptr;
	}
	const auto found =
		std::find_if(_available.open.begin(), _available.open.end(),
					 [&_ticket](const KnownBackend* _backend) { return _backend->key == _ticket.backend; });
	if (found == _available.open.end())
	{
		abandon(_ticket, _now);
		return nullptr;
	}
	return *found;
}

void SlotPermits::abandon(SlotTicket& _ticket, Micros _now)
{
	_ticket.paced = false;
	// A grant that arrives later is returned, since no request waits for it.
	const auto pending = m_pending.find(std::exchange(_ticket.id, 0));
	if (pending == m_pending.end())
	{
		return;
	}
	const bool granted = pending->second.state == State::Granted;
	const bool paced = pending->second.need.limit.has_value();
	const std::string grantor = pending->second.granted;
	m_pending.erase(pending);
	if (granted)
	{
		onPlaced(serverOf(_ticket.backend));
		sendReport(_ticket.backend, std::nullopt, _now);
		paced ? returnGrant(_ticket.backend, grantor, _now) : void();
	}
}

void SlotPermits::onEnded(BackendKey _key, std::optional<double> _rejected, bool _abandoned, Micros _now)
{
	if (_abandoned)
	{
		serverOf(_key).abandonedUntil.push_back(_now + kAbandonedSpan);
	}
	sendReport(_key, _rejected, _now);
}

void SlotPermits::sendReport(BackendKey _key, std::optional<double> _rejected, Micros _now)
{
	Server& server = serverOf(_key);
	server.reportedAt = _now;
	server.repeats = true;
	for (const std::string& home : toldHomes(server, server.grantor, _now))
	{
		sendTo(home, {useOf(_key, server, home, _now), _rejected.has_value(), false, _rejected}, _now);
	}
}

void SlotPermits::sendTo(const std::string& _home, const SlotReport& _report, Micros _now)
{
	_home == m_host ? m_grantor.onReport(_report, m_host, _now) : m_send(_home, _report);
}

void SlotPermits::report(const std::vector<BackendKey>& _keys, Micros _now)
{
	for (const BackendKey key : _keys)
	{
		Server& server = serverOf(key);
		const bool inUse = useOf(key, server, server.grantor, _now).inFlight > 0;
		const Micros age = _now - server.reportedAt;
		if (inUse ? age >= kReportInterval : server.repeats && age >= kRepeatDelay)
		{
			sendReport(key, std::nullopt, _now);
			server.repeats = inUse;
		}
	}
}

void SlotPermits::narrow(Availability& _available, const SlotTicket& _ticket, Micros _now) const
{
	const auto passedOver = [&](const KnownBackend* _backend)
	{
		const auto server = m_servers.find(_backend->key);
		const bool waitedFor = _ticket.id != 0 && _ticket.backend == _backend->key;
		if (waitedFor || server == m_servers.end() || server->second.passedOverUntil <= _now)
		{
			return false;
		}
		if (server->second.atLimit)
		{
			_available.earliestEnd = std::min(_available.earliestEnd, server->second.passedOverUntil);
		}
		else
		{
			_available.limited = true;
		}
		return true;
	};
	std::erase_if(_available.open, passedOver);
}

void SlotPermits::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_servers, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
