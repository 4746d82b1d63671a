// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of the quota ledger that grants requests one by one, and decides which are granted.

#include "coordination/quotaledger.h"
#include "coordination/quotaledger_p.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Requests a second, up to which a team's limit is granted one by one. With more, chance decides little, and one
/// gateway would not bear the asks.
constexpr double kMostGranted = 250.0;
/// A collector that stood still has heard most of the others again after this long: two of their rounds, since
/// their reports have to answer something that it sent, and the rounds of other data centres.
constexpr Micros kHeardAgain = 900 * kMillisecond;
} // namespace

double QuotaLedger::unheardOfOthers(const Team& _team, Micros _now) const
{
	return _team.rate.others(m_liveness.last()) * (kMeanDelay * propagationDelay() + secondsLate(_now));
}

double QuotaLedger::requestsPerSecond(const Team& _team, double _mean)
{
	return _mean > 0.0 ? _team.bucket.rate() / _mean : 0.0;
}

double QuotaLedger::requestsPerSecond(const std::string& _team) const
{
	const auto it = m_teams.find(_team);
	return it == m_teams.end() ? 0.0 : requestsPerSecond(it->second, it->second.rate.meanAmount());
}

bool QuotaLedger::isGranted(const Team& _team, double _mean)
{
	return _mean > 0.0 && requestsPerSecond(_team, _mean) <= kMostGranted;
}

QuotaRule QuotaLedger::ruleFor(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it == m_teams.end() || !it->second.bucket.limited())
	{
		return QuotaRule::Local;
	}
	onTick(_now);
	Team& team = it->second;
	const double mean = team.rate.meanAmount() > 0.0 ? team.rate.meanAmount() : _amount;
	if (m_liveness.members() <= 1 || !isGranted(team, mean))
	{
		return QuotaRule::Local;
	}
	if (settling(_now) || m_liveness.contact(_now) != FleetContact::Whole)
	{
		// It need not know what is left, as long as it reaches one that does.
		return QuotaRule::Granted;
	}
	recordSilentShare(team, _now);
	const double share = std::max(0.0, standingOf(team, _now).level) / static_cast<double>(m_liveness.members());
	return takenLately(team, _now) + _amount <= share ? QuotaRule::Share : QuotaRule::Granted;
}

QuotaVerdict QuotaLedger::takeEqualShare(const std::string& _team, double _amount, double _luck, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it == m_teams.end() || !it->second.bucket.limited())
	{
		return {};
	}
	onTick(_now);
	Team& team = it->second;
	recordSilentShare(team, _now);
	Standing standing = standingOf(team, _now);
	standing.alone = true;
	standing.level = std::min(standing.level, standing.own);
	const bool passes = standing.level > _luck * _amount;
	team.rate.onDecided(_amount, passes, _now);
	if (!passes)
	{
		const QuotaVerdict verdict = refusal(team, standing, _amount);
		++team.tally.refused[verdict.bound];
		return verdict;
	}
	pass(team, _amount, _now);
	return {};
}

void QuotaLedger::takeFromShare(const std::string& _team, double _amount, Micros _now)
{
	Team& team = m_teams.at(_team);
	team.rate.onDecided(_amount, true, _now);
	pass(team, _amount, _now);
}

QuotaGrant QuotaLedger::grant(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	onTick(_now);
	// A limit that is not known here may be in force there.
	const bool knowsLimit = it != m_teams.end() && it->second.bucket.limited();
	if (!knowsLimit || settling(_now) || m_liveness.contact(_now) != FleetContact::Whole)
	{
		const bool soon = knowsLimit && m_liveness.wokeWithin(kHeardAgain, _now);
		return {soon ? GrantOutcome::Later : GrantOutcome::Unable, 0};
	}
	Team& team = it->second;
	recordSilentShare(team, _now);
	team.rate.onSize(_amount);
	const double level = team.bucket.level(_now) - unheardOfOthers(team, _now);
	if (level <= 0.0)
	{
		++team.tally.grantsRefused;
		return {GrantOutcome::Refused, waitAt(level, team, _amount)};
	}
	team.bucket.record(_amount, _now);
	team.takenHere += _amount;
	team.rate.onCharged(_amount, _now);
	++team.tally.grants;
	return {GrantOutcome::Granted, 0};
}

void QuotaLedger::takeBack(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.bucket.record(-_amount, _now);
		// Others count what this gateway takes beyond the most that it has ever told.
		it->second.takenHere = std::max(0.0, it->second.takenHere - _amount);
	}
}

void QuotaLedger::onGranted(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		// The grantor tells of it; here it only counts in this gateway's own share.
		it->second.own.record(_amount, _now);
		it->second.rate.onDecided(_amount, true, _now);
		++it->second.tally.passed;
	}
}

QuotaVerdict QuotaLedger::onGrantRefused(const std::string& _team, double _amount, Micros _wait, Micros _now)
{
	const QuotaVerdict verdict{QuotaRefusalReason::Grantor, std::clamp<Micros>(_wait, kMillisecond, kLongestWait)};
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.rate.onDecided(_amount, false, _now);
		++it->second.tally.refused[verdict.bound];
	}
	return verdict;
}

void QuotaLedger::onGrantUnused(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.own.record(-_amount, _now);
	}
}

} // namespace beacongate
