// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/quotaledger.h"

#include "coordination/gossipplan.h"
#include "coordination/quotaledger_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beacongate
{
namespace
{
/// Share of its part of the burst that a gateway may use before it hears the others.
constexpr double kInitialBurstShare = 0.5;
/// Time after the first start of the system until every gateway has registered itself.
constexpr Micros kRegistrationTime = kSecond;
/// Share of a stored level that counts, since some more may have been used after it was stored.
constexpr double kStoredLevelShare = 0.8;
/// Usage of all gateways that is assumed for the second before a start, as a multiple of the team's rate, if its
/// bucket was stored empty. If all gateways are restarted at once, none of them knows for a second what the others
/// admit. Without this assumption, 87 gateways that were restarted twice admitted 11.62 of 11.03 million tokens in
/// 8 s for a team that requests five times its limit; with it they admitted 10.82 million (quotarestarttest).
constexpr double kInitialUsageFactor = 2.0;
constexpr double kMinReadyShare = 0.1; ///< Share of a request that must be available when its caller tries again.
/// Longest time for which the share of silent gateways is recorded at once: two rounds of gossip.
constexpr Micros kMaxSilentStep = 300 * kMillisecond;
constexpr double kMinReservedShare = 0.5; ///< Smallest share of the estimated unreported usage that is reserved.
/// Largest usage of one gateway before the others hear of it, as a multiple of its equal share of what all may use
/// in that time. Without this bound, eight gateways that resumed together after a stall of 0.6 s each admitted all
/// that the team had left: 543 requests in a second with a limit of 100, and 454 of 396 thousand tokens in 8 s.
constexpr double kMaxFairShares = 1.5;
/// Longest time for which a request of a team below its limit waits, after its gateway has used its share, until
/// the others have heard of that usage. A burst that arrives at all gateways at once, as they resume from a stall,
/// is then admitted as far as the level allows. Requests of a team over its limit that exceed the share are refused
/// at once.
constexpr Micros kMaxReportWait = 700 * kMillisecond;
/// Number of requests that are assumed to have been admitted before, so that the first ones do not decide the
/// demand ratio alone. With 1, a team that requested six times its quota used 1.06 to 1.08 of it; with 0.5 it used
/// 1.04 to 1.07.
constexpr double kAssumedRequests = 0.5;
/// Ratio of demand to admitted usage above which a team counts as over its limit.
constexpr double kOverLimitRatio = 1.2;
} // namespace

std::string_view toString(QuotaRefusalReason _reason)
{
	switch (_reason)
	{
	case QuotaRefusalReason::None:
		return "none";
	case QuotaRefusalReason::Level:
		return "level";
	case QuotaRefusalReason::Throttled:
		return "part";
	case QuotaRefusalReason::OwnShare:
		return "own-share";
	case QuotaRefusalReason::Grantor:
		return "grantor";
	case QuotaRefusalReason::Pending:
		return "unproved";
	}
	return "unknown";
}

void QuotaLedger::configure(const RoutingConfig& _config, Micros _now)
{
	onTick(_now);
	m_started = std::min(m_started, _now);
	for (const TeamAccess& access : _config.teams)
	{
		const auto [it, added] = m_teams.try_emplace(access.name);
		Team& team = it->second;
		const bool unlimitedBefore = added || !team.bucket.limited();
		recordSilentShare(team, _now);
		team.bucket.setLimits(access.ratePerSecond, access.burst);
		team.own.setLimits(access.ratePerSecond, access.burst);
		if (unlimitedBefore && team.bucket.limited())
		{
			startLimit(team, access, _now);
		}
	}
	for (auto& [name, team] : m_teams)
	{
		const bool present =
			std::any_of(_config.teams.begin(), _config.teams.end(),
						[&name = name](const TeamAccess& _access) { return _access.name == name; });
		if (!present)
		{
			team.bucket.setLimits(0.0, 0.0);
			team.own.setLimits(0.0, 0.0);
		}
	}
}

void QuotaLedger::startLimit(Team& _team, const TeamAccess& _access, Micros _now) const
{
	if (m_firstStart)
	{
		// Nothing was used before, and all usage of the others will be reported. Until they are heard, a gateway
		// is limited to its equal share, which begins with a part of the burst.
		const double part = (1.0 - kInitialBurstShare) / static_cast<double>(m_liveness.members());
		_team.own.record(_access.burst * part, _now);
		return;
	}
	_team.bucket.record(_access.burst - initialLevel(_access), _now);
	_team.rate.begin(initialUsageRate(_access), _now);
}

double QuotaLedger::initialLevel(const TeamAccess& _team) const
{
	const auto stored = m_storedLevels.find(_team.name);
	const double level = stored == m_storedLevels.end() ? 0.0 : static_cast<double>(stored->second);
	// If all gateways were restarted at once, each would use the whole level until it hears the others: 11.21 of
	// 11.03 million tokens, but 10.82 million if they divide it (quotarestarttest).
	return kStoredLevelShare * std::min(level, _team.burst) / static_cast<double>(m_liveness.members());
}

double QuotaLedger::initialUsageRate(const TeamAccess& _team) const
{
	const auto stored = m_storedLevels.find(_team.name);
	if (stored == m_storedLevels.end() || _team.burst <= 0.0)
	{
		return 0.0;
	}
	const double storedShare = std::min(1.0, static_cast<double>(stored->second) / _team.burst);
	return kInitialUsageFactor * _team.ratePerSecond * (1.0 - storedShare);
}

std::map<std::string, std::uint64_t> QuotaLedger::levels(Micros _now) const
{
	std::map<std::string, std::uint64_t> levels;
	for (const auto& [name, team] : m_teams)
	{
		if (team.bucket.limited())
		{
			levels.emplace(name, static_cast<std::uint64_t>(std::max(0.0, team.bucket.level(_now))));
		}
	}
	return levels;
}

void QuotaLedger::setMembers(std::size_t _members)
{
	m_liveness.setMembers(_members);
}

void QuotaLedger::onTick(Micros _now)
{
	m_liveness.onTick(_now);
}

double QuotaLedger::propagationSeconds() const
{
	return secondsOf(GossipPlan::propagationDelay(m_liveness.members()));
}

bool QuotaLedger::isolated(Micros _now) const
{
	return isStarting(_now) || m_liveness.contact(_now) == FleetContact::Lost;
}

bool QuotaLedger::isStarting(Micros _now) const
{
	if (m_firstStart)
	{
		// The other gateways may not be known yet: a gateway that has just started knows only itself.
		return m_liveness.members() <= 1 && _now - m_started < kRegistrationTime;
	}
	return !m_levelsAdopted && _now - m_started < kStartupSpan;
}

std::vector<QuotaLevel> QuotaLedger::levelsToReport(Micros _now) const
{
	std::vector<QuotaLevel> levels;
	// A gateway that started with all others has heard all usage, and one that adopted levels continues from them.
	const bool hasAllUsage = m_firstStart || m_levelsAdopted || _now - m_started > TokenBucket::kHistory;
	const bool isCurrent = hasAllUsage && m_liveness.contact(_now) == FleetContact::Established;
	for (const auto& [name, team] : m_teams)
	{
		if (isCurrent && team.bucket.limited())
		{
			levels.push_back({name, team.bucket.level(_now)});
		}
	}
	return levels;
}

void QuotaLedger::adoptLevels(const std::vector<QuotaLevel>& _levels, Micros _now)
{
	if (_levels.empty() || !isStarting(_now))
	{
		return;
	}
	for (const QuotaLevel& level : _levels)
	{
		const auto it = m_teams.find(level.team);
		if (it != m_teams.end() && it->second.bucket.limited())
		{
			// Usage here since the start may not have been reported to any gateway.
			it->second.bucket.setLevel(level.left - it->second.takenHere, _now);
		}
	}
	m_levelsAdopted = true;
}

double QuotaLedger::demand(const Team& _team, double _amount, Micros _now) const
{
	// The ratio of demand to usage at this gateway is assumed for all gateways.
	const double demandRatio = _team.rate.demandRatio(kAssumedRequests * _amount, _now);
	return (_team.rate.others(m_liveness.lastHeard()) + _team.rate.own(_now)) * demandRatio;
}

double QuotaLedger::admittedShare(const Team& _team, double _level, double _amount, Micros _now) const
{
	const double span = propagationSeconds();
	const double room = _level + _team.bucket.rate() * span;
	const double requested = demand(_team, _amount, _now) * span;
	const double few = kFewRequests * _amount;
	if (requested <= few)
	{
		return _level > 0.0 ? 1.0 : 0.0;
	}
	return std::clamp(room / (requested - few), 0.0, 1.0);
}

double QuotaLedger::reportLateness(Micros _now) const
{
	const Micros age = std::min(m_liveness.age(_now), m_liveness.silenceTimeout());
	return std::max(0.0, secondsOf(age) - kMeanReportAge * propagationSeconds());
}

double QuotaLedger::unreportedUsage(const Team& _team, Micros _now) const
{
	const double others = _team.rate.others(m_liveness.lastHeard());
	const double meanDelay = kMeanReportAge * propagationSeconds();
	// Half of the estimate is enough for a team of which no request is refused here. With the whole of it, a team
	// at 0.6 of its limit was refused up to 3 in 1,000 requests as a third of the gateways resumed from a stall
	// (quotastalltest).
	const double overLimit =
		std::clamp((_team.rate.demandRatio(0.0, _now) - 1.0) / (kOverLimitRatio - 1.0), 0.0, 1.0);
	const double reservedShare = kMinReservedShare + (1.0 - kMinReservedShare) * overLimit;
	return (others + _team.rate.own(_now)) * meanDelay * reservedShare + others * reportLateness(_now);
}

QuotaLedger::Availability QuotaLedger::availabilityOf(const Team& _team, Micros _now) const
{
	Availability availability;
	availability.isolated = isolated(_now);
	availability.own = _team.own.level(_now, 1.0 / static_cast<double>(m_liveness.members()));
	const double known = _team.bucket.level(_now);
	// The share of silent gateways is recorded as usage already, so nothing more is reserved for them.
	const double shared = known - (availability.isolated ? 0.0 : unreportedUsage(_team, _now));
	availability.level = availability.isolated ? std::min(shared, availability.own) : shared;
	return availability;
}

void QuotaLedger::recordSilentShare(Team& _team, Micros _now) const
{
	const Micros since = _team.advanced;
	_team.advanced = _now;
	const double share = m_liveness.silentShare(_now);
	if (since != kLongAgo && share > 0.0)
	{
		// A gateway that is silent now may not have been silent for long.
		const Micros span = std::min(_now - since, kMaxSilentStep);
		_team.bucket.record(_team.bucket.rate() * share * secondsOf(span), _now);
	}
}

void QuotaLedger::advance(Micros _now)
{
	onTick(_now);
	for (auto& [name, team] : m_teams)
	{
		recordSilentShare(team, _now);
	}
}

void QuotaLedger::Team::take(double _amount, Micros _now)
{
	bucket.record(_amount, _now);
	own.record(_amount, _now);
	ungranted.record(_amount, _now);
	takenHere += _amount;
	takenSinceReport += _amount;
}

double QuotaLedger::takenRecently(const Team& _team, Micros _now) const
{
	// A gateway that hears nothing must assume that it is not heard, however long that lasts.
	const double sinceReport = _team.reportCount == m_reportCount ? _team.takenSinceReport : 0.0;
	const Micros spanStart = _now - GossipPlan::propagationDelay(m_liveness.members());
	return std::max(_team.own.takenSince(spanStart), sinceReport);
}

bool QuotaLedger::exceedsFairShare(const Team& _team, const Availability& _availability, double _amount,
								   Micros _now) const
{
	// A gateway that is limited to its equal share is bounded by it already.
	if (m_liveness.members() <= 1 || _availability.isolated)
	{
		return false;
	}
	const double span = propagationSeconds();
	const double usedHere = takenRecently(_team, _now);
	// What all gateways may use before their reports reach each other, if the others have used nothing of it yet.
	const double usableByAll = std::max(0.0, _availability.level) + usedHere + _team.bucket.rate() * span;
	const double maxShare = kMaxFairShares * usableByAll / static_cast<double>(m_liveness.members());
	// Requests differ in size, so a large one is admitted if nothing else was recently. Measured by its own size
	// alone, four large ones were admitted at each gateway.
	const double mean = _team.rate.meanAmount();
	const double few = std::max(kFewRequests * mean, _amount + mean);
	return usedHere + _amount > std::max(maxShare, few);
}

QuotaVerdict QuotaLedger::take(const std::string& _team, double _amount, Micros _now, Micros _waited)
{
	const auto it = m_teams.find(_team);
	if (it == m_teams.end())
	{
		return {};
	}
	Team& team = it->second;
	if (!team.bucket.limited())
	{
		team.takenHere += _amount;
		return {};
	}
	onTick(_now);
	if (m_liveness.contact(_now) == FleetContact::Resuming)
	{
		// The usage of the others during the stall is reported within moments. Without this wait, a third of 77
		// gateways that were stalled admitted their waiting requests by the level from before the stall, and then
		// refused what the current level allows (quotastalltest).
		return {QuotaRefusalReason::Pending, FleetLiveness::kResumeTimeout};
	}
	recordSilentShare(team, _now);
	const Availability availability = availabilityOf(team, _now);
	const bool isLargeFleet = GossipPlan::usesCollectors(m_liveness.members()) && !availability.isolated;
	const double creditBefore = team.admissionCredit;
	team.admissionCredit += isLargeFleet ? admittedShare(team, availability.level, _amount, _now) : 0.0;
	// Any request is admitted while something is left, and the excess becomes a debt of the bucket. A bucket that
	// is nearly empty would otherwise admit small requests and never a large one.
	bool passes = isLargeFleet ? team.admissionCredit >= 1.0 : availability.level > 0.0;
	if (passes && _waited < kMaxReportWait && exceedsFairShare(team, availability, _amount, _now))
	{
		if (!isOverLimit(team, _now))
		{
			team.admissionCredit = creditBefore;
			return {QuotaRefusalReason::Pending, kMaxReportWait};
		}
		passes = false;
	}
	team.rate.onDecided(_amount, passes, _now);
	if (!passes)
	{
		const QuotaVerdict verdict = refusal(team, availability, _amount);
		++team.tally.refused[verdict.reason];
		return verdict;
	}
	team.admissionCredit = std::max(0.0, team.admissionCredit - 1.0);
	admit(team, _amount, _now);
	return {};
}

void QuotaLedger::admit(Team& _team, double _amount, Micros _now) const
{
	++_team.tally.passed;
	_team.rate.onCharged(_amount, _now);
	_team.takenSinceReport =
		std::exchange(_team.reportCount, m_reportCount) == m_reportCount ? _team.takenSinceReport : 0.0;
	_team.take(_amount, _now);
}

QuotaVerdict QuotaLedger::refusal(const Team& _team, const Availability& _availability, double _amount)
{
	const bool byOwnShare = _availability.isolated && _availability.own <= _availability.level;
	const QuotaRefusalReason reason = byOwnShare                  ? QuotaRefusalReason::OwnShare
									  : _availability.level > 0.0 ? QuotaRefusalReason::Throttled
																  : QuotaRefusalReason::Level;
	return {reason, waitAt(_availability.level, _team, _amount)};
}

Micros QuotaLedger::waitAt(double _level, const Team& _team, double _amount)
{
	const double missing = kMinReadyShare * std::min(_amount, _team.bucket.burst()) - _level;
	const auto wait = static_cast<Micros>(missing / _team.bucket.rate() * static_cast<double>(kSecond));
	return std::clamp<Micros>(wait, kMillisecond, kMaxWait);
}

void QuotaLedger::charge(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.take(_amount, _now);
	}
}

void QuotaLedger::refund(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		// Only the local buckets are corrected; the usage that is reported to others stays.
		it->second.bucket.record(-_amount, _now);
		it->second.own.record(-_amount, _now);
		it->second.ungranted.record(-_amount, _now);
	}
}

bool QuotaLedger::isOverLimit(const Team& _team, Micros _now)
{
	return _team.rate.demandRatio(0.0, _now) > kOverLimitRatio;
}

std::vector<QuotaTally> QuotaLedger::takeTallies(Micros _now)
{
	std::vector<QuotaTally> tallies;
	for (auto& [name, team] : m_teams)
	{
		QuotaTally tally = std::exchange(team.tally, {});
		if (!tally.refused.empty() || tally.grantsRefused > 0)
		{
			tally.team = name;
			tally.level = team.bucket.level(_now);
			tally.demand = demand(team, team.rate.meanAmount(), _now);
			tallies.push_back(std::move(tally));
		}
	}
	return tallies;
}

std::vector<QuotaView> QuotaLedger::views(Micros _now) const
{
	std::vector<QuotaView> views;
	for (const auto& [name, team] : m_teams)
	{
		if (team.bucket.limited())
		{
			const double usedByAll = team.rate.others(m_liveness.lastHeard()) + team.rate.own(_now);
			views.push_back({name, team.bucket.level(_now), team.takenHere, usedByAll});
		}
	}
	return views;
}

double QuotaLedger::takenHere(const std::string& _team) const
{
	const auto it = m_teams.find(_team);
	return it == m_teams.end() ? 0.0 : it->second.takenHere;
}
} // namespace beacongate
