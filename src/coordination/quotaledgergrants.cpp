// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of the quota ledger that grants requests one by one, and decides which ones need a grant.

#include "coordination/quotaledger.h"
#include "coordination/quotaledger_p.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Largest limit, in requests a second, at which requests are granted one by one. At higher limits the random
/// distribution of requests over the gateways matters little, and one gateway could not carry the load of grant
/// requests.
constexpr double kMaxGrantedRate = 250.0;
/// Time after a stall in which a grantor has heard most of the others again. It is two of their rounds, since their
/// reports have to answer a message that the grantor sent, and the rounds of other data centres.
constexpr Micros kReconnectTime = 900 * kMillisecond;
} // namespace

double QuotaLedger::unreportedUsageOfOthers(const Team& _team, Micros _now) const
{
	return _team.rate.others(m_liveness.lastHeard()) *
		   (kMeanReportAge * propagationSeconds() + reportLateness(_now));
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
	return _mean > 0.0 && requestsPerSecond(_team, _mean) <= kMaxGrantedRate;
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
	if (isStarting(_now) || m_liveness.contact(_now) != FleetContact::Established)
	{
		// This gateway need not know what is left if it reaches a grantor that does.
		return QuotaRule::Granted;
	}
	recordSilentShare(team, _now);
	const double share =
		std::max(0.0, availabilityOf(team, _now).level) / static_cast<double>(m_liveness.members());
	return takenRecently(team, _now) + _amount <= share ? QuotaRule::Share : QuotaRule::Granted;
}

QuotaVerdict QuotaLedger::takeEqualShare(const std::string& _team, double _amount, double _threshold, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it == m_teams.end() || !it->second.bucket.limited())
	{
		return {};
	}
	onTick(_now);
	Team& team = it->second;
	recordSilentShare(team, _now);
	Availability availability = availabilityOf(team, _now);
	availability.isolated = true;
	availability.level = std::min(availability.level, availability.own);
	const bool passes = availability.level > _threshold * _amount;
	team.rate.onDecided(_amount, passes, _now);
	if (!passes)
	{
		const QuotaVerdict verdict = refusal(team, availability, _amount);
		++team.tally.refused[verdict.reason];
		return verdict;
	}
	admit(team, _amount, _now);
	return {};
}

void QuotaLedger::takeFromShare(const std::string& _team, double _amount, Micros _now)
{
	Team& team = m_teams.at(_team);
	team.rate.onDecided(_amount, true, _now);
	admit(team, _amount, _now);
}

QuotaGrant QuotaLedger::grant(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	onTick(_now);
	// A limit that this gateway does not know may be in force at the requester.
	const bool knowsLimit = it != m_teams.end() && it->second.bucket.limited();
	if (!knowsLimit || isStarting(_now) || m_liveness.contact(_now) != FleetContact::Established)
	{
		const bool soon = knowsLimit && m_liveness.resumedWithin(kReconnectTime, _now);
		return {soon ? GrantOutcome::Later : GrantOutcome::Unable, 0};
	}
	Team& team = it->second;
	recordSilentShare(team, _now);
	team.rate.onRequestSize(_amount);
	const double level = team.bucket.level(_now) - unreportedUsageOfOthers(team, _now);
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

void QuotaLedger::onGrantReturned(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.bucket.record(-_amount, _now);
		// The others count only the usage of this gateway above the highest value that it has reported.
		it->second.takenHere = std::max(0.0, it->second.takenHere - _amount);
	}
}

void QuotaLedger::onGranted(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		// The grantor reports this usage; here it only counts towards this gateway's own share.
		it->second.own.record(_amount, _now);
		it->second.rate.onDecided(_amount, true, _now);
		++it->second.tally.passed;
	}
}

QuotaVerdict QuotaLedger::onGrantRefused(const std::string& _team, double _amount, Micros _wait, Micros _now)
{
	const QuotaVerdict verdict{QuotaRefusalReason::Grantor, std::clamp<Micros>(_wait, kMillisecond, kMaxWait)};
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.rate.onDecided(_amount, false, _now);
		++it->second.tally.refused[verdict.reason];
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
