// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/quotaadmission.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
/// Longest interval between two polls of a waiting ticket while this process runs. A longer one is a stall of this
/// process, in which no answer could be read, and does not count as waiting.
constexpr Micros kMaxPollInterval = 50 * kMillisecond;
/// Delay before a grantor that answered GrantOutcome::Later is asked again.
constexpr Micros kLaterRetryDelay = 50 * kMillisecond;

/// @returns a number from 0 to less than 1 that a host's name determines.
double shareThresholdOf(const std::string& _host)
{
	constexpr double kRange = 4294967296.0; // Number of 32-bit values.
	return static_cast<double>(XXH32(_host.data(), _host.size(), 0)) / kRange;
}

bool isDecision(GrantOutcome _outcome)
{
	return _outcome == GrantOutcome::Granted || _outcome == GrantOutcome::Refused;
}
} // namespace

QuotaAdmission::QuotaAdmission(QuotaLedger& _ledger, QuotaGrantor& _grantor, std::string _host,
							   std::uint64_t _firstId)
	: m_ledger(_ledger), m_grantor(_grantor), m_host(std::move(_host)), m_lastId(_firstId),
	  m_shareThreshold(shareThresholdOf(m_host))
{
}

QuotaVerdict QuotaAdmission::take(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now,
								  Decided _decided)
{
	_ticket.firstTried = std::min(_ticket.firstTried, _now);
	const auto found = m_pending.find(_ticket.id);
	if (found != m_pending.end())
	{
		if (found->second.team == _team)
		{
			return poll(_ticket, found->second, _now);
		}
		abandon(_ticket);
	}
	switch (m_ledger.ruleFor(_team, _amount, _now))
	{
	case QuotaRule::Local:
	{
		const QuotaVerdict verdict = m_ledger.take(_team, _amount, _now, _now - _ticket.firstTried);
		_ticket.admitted = verdict.passes();
		return verdict;
	}
	case QuotaRule::Share:
		m_ledger.takeFromShare(_team, _amount, _now);
		_ticket.admitted = true;
		return {};
	case QuotaRule::Granted:
		break;
	}
	const auto hold = m_holds.find(_team);
	if (hold != m_holds.end() && _now < hold->second.until)
	{
		const Micros wait = std::max(hold->second.until, hold->second.ready) - _now;
		return m_ledger.onGrantRefused(_team, _amount, wait, _now);
	}
	_ticket.id = ++m_lastId;
	Pending& pending = m_pending[_ticket.id];
	pending.team = _team;
	pending.amount = _amount;
	pending.grantors = m_choice.ranked(_team, _now);
	pending.decided = std::move(_decided);
	pending.polledAt = _now;
	requestFromNext(_ticket.id, pending, _now);
	return poll(_ticket, pending, _now);
}

void QuotaAdmission::requestFromNext(std::uint64_t _id, Pending& _pending, Micros _now)
{
	_pending.waited = 0;
	_pending.resent = false;
	while (_pending.nextGrantor < _pending.grantors.size())
	{
		const std::string& host = _pending.grantors[_pending.nextGrantor++];
		const QuotaGrantRequest request{_id, _pending.team, _pending.amount};
		if (host != m_host)
		{
			m_send(host, request);
			return;
		}
		const QuotaGrantAnswer answer = m_grantor.decide(request, m_host, _now);
		if (isDecision(answer.outcome))
		{
			onDecided(_pending, host, answer, _now);
			return;
		}
		if (answer.outcome == GrantOutcome::Later)
		{
			_pending.askAgain = true;
			_pending.laterPromised = true;
			return;
		}
	}
	_pending.state = State::Undecided;
	++m_counts.undecided;
}

QuotaVerdict QuotaAdmission::poll(QuotaTicket& _ticket, Pending& _pending, Micros _now)
{
	const Micros elapsed = std::min(_now - std::exchange(_pending.polledAt, _now), kMaxPollInterval);
	_pending.waited += elapsed;
	_pending.totalWaited += elapsed;
	if (_pending.state == State::Waiting)
	{
		resendOrFailOver(_ticket.id, _pending, _now);
	}
	if (_pending.state == State::Waiting)
	{
		return {QuotaRefusalReason::Pending, kGrantorTimeout};
	}
	return finish(_ticket, _pending, _now);
}

void QuotaAdmission::resendOrFailOver(std::uint64_t _id, Pending& _pending, Micros _now)
{
	const bool silent = _pending.waited > kGrantorTimeout;
	if (silent)
	{
		const std::string& host = _pending.grantors[_pending.nextGrantor - 1];
		++m_counts.unanswered;
		addNotice({host, false, m_choice.onSilent(host, _now)});
	}
	if (_pending.totalWaited > (_pending.laterPromised ? kMaxLaterWait : kMaxGrantWait))
	{
		_pending.nextGrantor = _pending.grantors.size();
		requestFromNext(_id, _pending, _now);
	}
	else if (_pending.askAgain && _pending.waited > kLaterRetryDelay)
	{
		_pending.askAgain = false;
		--_pending.nextGrantor;
		requestFromNext(_id, _pending, _now);
	}
	else if (silent)
	{
		requestFromNext(_id, _pending, _now);
	}
	else if (!_pending.askAgain && !_pending.resent && _pending.waited > kResendDelay)
	{
		_pending.resent = true;
		m_send(_pending.grantors[_pending.nextGrantor - 1], QuotaGrantRequest{_id, _pending.team, _pending.amount});
	}
}

QuotaVerdict QuotaAdmission::finish(QuotaTicket& _ticket, Pending& _pending, Micros _now)
{
	QuotaVerdict verdict;
	switch (_pending.state)
	{
	case State::Granted:
		m_ledger.onGranted(_pending.team, _pending.amount, _now);
		_ticket.grantor = _pending.grantor;
		break;
	case State::Refused:
		verdict = m_ledger.onGrantRefused(_pending.team, _pending.amount, _pending.wait, _now);
		break;
	default:
		verdict = m_ledger.takeEqualShare(_pending.team, _pending.amount, m_shareThreshold, _now);
		break;
	}
	_ticket.admitted = verdict.passes();
	m_pending.erase(std::exchange(_ticket.id, 0));
	return verdict;
}

void QuotaAdmission::abandon(QuotaTicket& _ticket)
{
	// A grant that arrives later is returned, since no request waits for it.
	m_pending.erase(std::exchange(_ticket.id, 0));
}

void QuotaAdmission::refund(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now)
{
	if (!std::exchange(_ticket.admitted, false))
	{
		return;
	}
	if (_ticket.grantor.empty())
	{
		m_ledger.refund(_team, _amount, _now);
		return;
	}
	m_ledger.onGrantUnused(_team, _amount, _now);
	if (_ticket.grantor == m_host)
	{
		m_grantor.onReturn({_team, _amount}, _now);
		return;
	}
	m_send(_ticket.grantor, QuotaGrantReturn{_team, _amount});
}

void QuotaAdmission::onAnswer(const std::string& _host, const QuotaGrantAnswer& _answer, Micros _now)
{
	const bool decided = isDecision(_answer.outcome);
	if (decided)
	{
		m_choice.onAnswered(_host);
	}
	const auto found = m_pending.find(_answer.id);
	const bool isWaiting = found != m_pending.end() && found->second.state == State::Waiting;
	if (!isWaiting)
	{
		if (_answer.outcome == GrantOutcome::Granted)
		{
			++m_counts.returned;
			m_send(_host, QuotaGrantReturn{_answer.team, _answer.amount});
		}
		return;
	}
	Pending& pending = found->second;
	if (decided)
	{
		onDecided(pending, _host, _answer, _now);
	}
	else if (pending.grantors[pending.nextGrantor - 1] == _host)
	{
		onUndecided(_answer.id, pending, _answer.outcome, _now);
	}
	if (pending.state != State::Waiting)
	{
		// The callback may erase the pending request, so it is copied first.
		const Decided call = pending.decided;
		call();
	}
}

void QuotaAdmission::onDecided(Pending& _pending, const std::string& _host, const QuotaGrantAnswer& _answer,
							   Micros _now)
{
	_pending.grantor = _host;
	if (_answer.outcome == GrantOutcome::Granted)
	{
		++m_counts.granted;
		_pending.state = State::Granted;
		return;
	}
	++m_counts.refused;
	_pending.state = State::Refused;
	_pending.wait = std::max(_answer.wait, _answer.hold);
	if (_host != m_host)
	{
		m_holds[_pending.team] = {_now + _answer.hold, _now + _answer.wait};
	}
}

void QuotaAdmission::onUndecided(std::uint64_t _id, Pending& _pending, GrantOutcome _outcome, Micros _now)
{
	++m_counts.unable;
	if (_outcome == GrantOutcome::Later)
	{
		_pending.askAgain = true;
		_pending.laterPromised = true;
		_pending.waited = 0;
		return;
	}
	const std::string& host = _pending.grantors[_pending.nextGrantor - 1];
	addNotice({host, true, m_choice.onUnable(host, _now)});
	requestFromNext(_id, _pending, _now);
}

void QuotaAdmission::addNotice(const GrantorNotice& _notice)
{
	const bool isKnown =
		std::any_of(m_notices.begin(), m_notices.end(),
					[&_notice](const GrantorNotice& _other) { return _other.host == _notice.host; });
	if (!isKnown)
	{
		m_notices.push_back(_notice);
	}
}

std::vector<GrantorNotice> QuotaAdmission::takeNotices()
{
	return std::exchange(m_notices, {});
}

} // namespace beacongate
