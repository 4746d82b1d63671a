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
/// A ticket that waits is polled more often than this; a longer pause is one of this process, in which no answer
/// could be read.
constexpr Micros kPollSpan = 50 * kMillisecond;
constexpr Micros kAskedAgain = 50 * kMillisecond; ///< After which a grantor is asked again that will know soon.

/// @returns a number from 0 to less than 1 that is drawn by a host's name.
double luckOf(const std::string& _host)
{
	constexpr double kRange = 4294967296.0; // Of 32 bits.
	return static_cast<double>(XXH32(_host.data(), _host.size(), 0)) / kRange;
}

bool isDecision(GrantOutcome _outcome)
{
	return _outcome == GrantOutcome::Granted || _outcome == GrantOutcome::Refused;
}
} // namespace

QuotaAdmission::QuotaAdmission(QuotaLedger& _ledger, QuotaGrantor& _grantor, std::string _host,
							   std::uint64_t _firstId)
	: m_ledger(_ledger), m_grantor(_grantor), m_host(std::move(_host)), m_lastId(_firstId), m_luck(luckOf(m_host))
{
}

QuotaVerdict QuotaAdmission::take(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now,
								  Decided _decided)
{
	_ticket.asked = std::min(_ticket.asked, _now);
	const auto waiting = m_pending.find(_ticket.id);
	if (waiting != m_pending.end())
	{
		if (waiting->second.team == _team)
		{
			return poll(_ticket, waiting->second, _now);
		}
		abandon(_ticket);
	}
	switch (m_ledger.ruleFor(_team, _amount, _now))
	{
	case QuotaRule::Local:
	{
		const QuotaVerdict verdict = m_ledger.take(_team, _amount, _now, _now - _ticket.asked);
		_ticket.passed = verdict.passes();
		return verdict;
	}
	case QuotaRule::Share:
		m_ledger.takeFromShare(_team, _amount, _now);
		_ticket.passed = true;
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
	pending.polled = _now;
	askNext(_ticket.id, pending, _now);
	return poll(_ticket, pending, _now);
}

void QuotaAdmission::askNext(std::uint64_t _id, Pending& _pending, Micros _now)
{
	_pending.waited = 0;
	_pending.repeated = false;
	while (_pending.next < _pending.grantors.size())
	{
		const std::string& host = _pending.grantors[_pending.next++];
		const QuotaGrantRequest ask{_id, _pending.team, _pending.amount};
		if (host != m_host)
		{
			m_send(host, ask);
			return;
		}
		const QuotaGrantAnswer answer = m_grantor.decide(ask, m_host, _now);
		if (isDecision(answer.outcome))
		{
			onDecided(_pending, host, answer, _now);
			return;
		}
		if (answer.outcome == GrantOutcome::Later)
		{
			_pending.later = true;
			_pending.promised = true;
			return;
		}
	}
	_pending.state = State::Undecided;
	++m_counts.undecided;
}

QuotaVerdict QuotaAdmission::poll(QuotaTicket& _ticket, Pending& _pending, Micros _now)
{
	const Micros passed = std::min(_now - std::exchange(_pending.polled, _now), kPollSpan);
	_pending.waited += passed;
	_pending.waitedAll += passed;
	if (_pending.state == State::Waiting)
	{
		goOn(_ticket.id, _pending, _now);
	}
	if (_pending.state == State::Waiting)
	{
		return {QuotaRefusalReason::Pending, kPatience};
	}
	return finish(_ticket, _pending, _now);
}

void QuotaAdmission::goOn(std::uint64_t _id, Pending& _pending, Micros _now)
{
	const bool silent = _pending.waited > kPatience;
	if (silent)
	{
		const std::string& host = _pending.grantors[_pending.next - 1];
		++m_counts.unanswered;
		note({host, false, m_choice.onSilent(host, _now)});
	}
	if (_pending.waitedAll > (_pending.promised ? kLongestLater : kLongestAsk))
	{
		_pending.next = _pending.grantors.size();
		askNext(_id, _pending, _now);
	}
	else if (_pending.later && _pending.waited > kAskedAgain)
	{
		_pending.later = false;
		--_pending.next;
		askNext(_id, _pending, _now);
	}
	else if (silent)
	{
		askNext(_id, _pending, _now);
	}
	else if (!_pending.later && !_pending.repeated && _pending.waited > kRepeatAfter)
	{
		_pending.repeated = true;
		m_send(_pending.grantors[_pending.next - 1], QuotaGrantRequest{_id, _pending.team, _pending.amount});
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
		verdict = m_ledger.takeEqualShare(_pending.team, _pending.amount, m_luck, _now);
		break;
	}
	_ticket.passed = verdict.passes();
	m_pending.erase(std::exchange(_ticket.id, 0));
	return verdict;
}

void QuotaAdmission::abandon(QuotaTicket& _ticket)
{
	// A grant that comes later is given back as one that nobody waits for.
	m_pending.erase(std::exchange(_ticket.id, 0));
}

void QuotaAdmission::giveBack(QuotaTicket& _ticket, const std::string& _team, double _amount, Micros _now)
{
	if (!std::exchange(_ticket.passed, false))
	{
		return;
	}
	if (_ticket.grantor.empty())
	{
		m_ledger.giveBack(_team, _amount, _now);
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
	const bool waits = found != m_pending.end() && found->second.state == State::Waiting;
	if (!waits)
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
	else if (pending.grantors[pending.next - 1] == _host)
	{
		onUndecided(_answer.id, pending, _answer.outcome, _now);
	}
	if (pending.state != State::Waiting)
	{
		// The ask ends in the call.
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
		_pending.later = true;
		_pending.promised = true;
		_pending.waited = 0;
		return;
	}
	const std::string& host = _pending.grantors[_pending.next - 1];
	note({host, true, m_choice.onUnable(host, _now)});
	askNext(_id, _pending, _now);
}

void QuotaAdmission::note(const GrantorNotice& _notice)
{
	const bool noted = std::any_of(m_notices.begin(), m_notices.end(),
								   [&_notice](const GrantorNotice& _other) { return _other.host == _notice.host; });
	if (!noted)
	{
		m_notices.push_back(_notice);
	}
}

std::vector<GrantorNotice> QuotaAdmission::takeNotices()
{
	return std::exchange(m_notices, {});
}

} // namespace beacongate
