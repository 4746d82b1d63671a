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
constexpr double kStartShare =
	0.5; ///< Of its part of the burst, that a gateway may take before it hears the others.
constexpr Micros kMembersKnown = kSecond; ///< After the first start of all, until which each has registered itself.
constexpr double kKeptShare = 0.8;        ///< Of a level that was kept: a little more may have been taken since.
/// Times its rate that a team is taken to have had of all gateways in the second before a start, where its bucket
/// was kept empty. All may have been restarted at once, and know nothing of what the others let through for a
/// second: with none, 87 gateways that are restarted twice let 11.62 of 11.03 million tokens through in 8 s for a
/// team that asks for five times its limit, with two 10.82 (quotarestarttest).
constexpr double kStartTakings = 2.0;
constexpr double kReadyShare = 0.1; ///< Of a request, that has to be there when its caller comes back.
constexpr Micros kMostAtOnce = 300 * kMillisecond; ///< Two rounds of gossip, between which time is let pass.
constexpr double kLeastHeldBack = 0.5;             ///< Of what is reckoned to be taken without word of it yet.
/// Equal parts of what all may take before they hear of each other, that one gateway may take of it. Without a
/// bound, eight gateways that went on together after 0.6 s each let through what the whole team had left: 543
/// requests in a second where 100 are its limit (one soak, 454 of 396 thousand tokens in 8 s).
constexpr double kMostParts = 1.5;
/// For so long a request of a team that is below its limit waits where its gateway has had its part, until the
/// others have heard of that: a burst that comes to all gateways at once, as they go on after a stall, is then let
/// through as far as the level allows. What comes beyond the part of a team that is over its limit is refused at
/// once.
constexpr Micros kLongestWaitForWord = 700 * kMillisecond;
/// Requests that a gateway is taken to have asked for and got before its own tell how many are refused. With one, a
/// team that asked for six times its quota got 1.06 to 1.08 of it, with a half 1.04 to 1.07.
constexpr double kPriorRequests = 0.5;
/// Times more is asked for than is let through by a team that is over its limit.
constexpr double kRefusedMuch = 1.2;
} // namespace

std::string_view toString(QuotaRefusalReason _bound)
{
	switch (_bound)
	{
	case QuotaRefusalReason::None:
		return "none";
	case QuotaRefusalReason::Level:
		return "level";
	case QuotaRefusalReason::Part:
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
			beginLimit(team, access, _now);
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

void QuotaLedger::beginLimit(Team& _team, const TeamAccess& _access, Micros _now) const
{
	if (m_firstStart)
	{
		// Nothing was taken before, and all that the others take will be told. Until they are heard, a gateway goes
		// by its equal share, which begins with a part of the burst.
		const double part = (1.0 - kStartShare) / static_cast<double>(m_liveness.members());
		_team.own.record(_access.burst * part, _now);
		return;
	}
	_team.bucket.record(_access.burst - startLevel(_access), _now);
	_team.rate.begin(startTakings(_access), _now);
}

double QuotaLedger::startLevel(const TeamAccess& _team) const
{
	const auto kept = m_keptLevels.find(_team.name);
	const double level = kept == m_keptLevels.end() ? 0.0 : static_cast<double>(kept->second);
	// All may have been restarted at once, and each would take the whole of it until it hears the others: 11.21 of
	// 11.03 million tokens, 10.82 where they share it (quotarestarttest).
	return kKeptShare * std::min(level, _team.burst) / static_cast<double>(m_liveness.members());
}

double QuotaLedger::startTakings(const TeamAccess& _team) const
{
	const auto kept = m_keptLevels.find(_team.name);
	if (kept == m_keptLevels.end() || _team.burst <= 0.0)
	{
		return 0.0;
	}
	const double left = std::min(1.0, static_cast<double>(kept->second) / _team.burst);
	return kStartTakings * _team.ratePerSecond * (1.0 - left);
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

double QuotaLedger::propagationDelay() const
{
	return secondsOf(GossipPlan::propagationDelay(m_liveness.members()));
}

bool QuotaLedger::alone(Micros _now) const
{
	return settling(_now) || m_liveness.contact(_now) == FleetContact::Lost;
}

bool QuotaLedger::settling(Micros _now) const
{
	if (m_firstStart)
	{
		// Who else there is may not be known yet: a gateway that has just started knows of itself alone.
		return m_liveness.members() <= 1 && _now - m_started < kMembersKnown;
	}
	return !m_adopted && _now - m_started < kSettling;
}

std::vector<QuotaLevel> QuotaLedger::levelsToReport(Micros _now) const
{
	std::vector<QuotaLevel> levels;
	// One that began with all others has heard of everything, one that was told goes on from there.
	const bool sinceStart = m_firstStart || m_adopted || _now - m_started > TokenBucket::kHistory;
	const bool knows = sinceStart && m_liveness.contact(_now) == FleetContact::Whole;
	for (const auto& [name, team] : m_teams)
	{
		if (knows && team.bucket.limited())
		{
			levels.push_back({name, team.bucket.level(_now)});
		}
	}
	return levels;
}

void QuotaLedger::adopt(const std::vector<QuotaLevel>& _levels, Micros _now)
{
	if (_levels.empty() || !settling(_now))
	{
		return;
	}
	for (const QuotaLevel& level : _levels)
	{
		const auto it = m_teams.find(level.team);
		if (it != m_teams.end() && it->second.bucket.limited())
		{
			// What passed here since the start may not have been told to anybody.
			it->second.bucket.setLevel(level.left - it->second.takenHere, _now);
		}
	}
	m_adopted = true;
}

double QuotaLedger::demand(const Team& _team, double _amount, Micros _now) const
{
	// All ask as much more than they take as is the case here.
	const double refusedTimes = _team.rate.refusedTimes(kPriorRequests * _amount, _now);
	return (_team.rate.others(m_liveness.last()) + _team.rate.own(_now)) * refusedTimes;
}

double QuotaLedger::admittedPart(const Team& _team, double _level, double _amount, Micros _now) const
{
	const double span = propagationDelay();
	const double room = _level + _team.bucket.rate() * span;
	const double asked = demand(_team, _amount, _now) * span;
	const double few = kFewRequests * _amount;
	if (asked <= few)
	{
		return _level > 0.0 ? 1.0 : 0.0;
	}
	return std::clamp(room / (asked - few), 0.0, 1.0);
}

double QuotaLedger::secondsLate(Micros _now) const
{
	const Micros age = std::min(m_liveness.age(_now), m_liveness.silence());
	return std::max(0.0, secondsOf(age) - kMeanDelay * propagationDelay());
}

double QuotaLedger::unheard(const Team& _team, Micros _now) const
{
	const double others = _team.rate.others(m_liveness.last());
	const double usual = kMeanDelay * propagationDelay();
	// Half of it suffices for a team that is refused nothing here: held back whole, a team that asks for 0.6 of its
	// limit was refused up to 3 in 1,000 requests as a third of the gateways went on after a stall
	// (quotastalltest).
	const double refused = std::clamp((_team.rate.refusedTimes(0.0, _now) - 1.0) / (kRefusedMuch - 1.0), 0.0, 1.0);
	const double part = kLeastHeldBack + (1.0 - kLeastHeldBack) * refused;
	return (others + _team.rate.own(_now)) * usual * part + others * secondsLate(_now);
}

QuotaLedger::Standing QuotaLedger::standingOf(const Team& _team, Micros _now) const
{
	Standing standing;
	standing.alone = alone(_now);
	standing.own = _team.own.level(_now, 1.0 / static_cast<double>(m_liveness.members()));
	const double known = _team.bucket.level(_now);
	// What is left to silent gateways is recorded as taken: nothing more has to be held back for them.
	const double shared = known - (standing.alone ? 0.0 : unheard(_team, _now));
	standing.level = standing.alone ? std::min(shared, standing.own) : shared;
	return standing;
}

void QuotaLedger::recordSilentShare(Team& _team, Micros _now) const
{
	const Micros since = _team.advanced;
	_team.advanced = _now;
	const double share = m_liveness.silentShare(_now);
	if (since != kLongAgo && share > 0.0)
	{
		// Who is silent now need not have been so for long.
		const Micros span = std::min(_now - since, kMostAtOnce);
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
	takenSinceWord += _amount;
}

double QuotaLedger::takenLately(const Team& _team, Micros _now) const
{
	// Who hears nothing is not heard either, as far as it knows, however long that lasts.
	const double sinceWord = _team.words == m_words ? _team.takenSinceWord : 0.0;
	const Micros spanStart = _now - GossipPlan::propagationDelay(m_liveness.members());
	return std::max(_team.own.takenSince(spanStart), sinceWord);
}

bool QuotaLedger::exceedsPart(const Team& _team, const Standing& _standing, double _amount, Micros _now) const
{
	// One that goes by its equal share is bounded by that already.
	if (m_liveness.members() <= 1 || _standing.alone)
	{
		return false;
	}
	const double span = propagationDelay();
	const double here = takenLately(_team, _now);
	// What all may take before they hear of each other, were none of them to have taken anything of it yet.
	const double all = std::max(0.0, _standing.level) + here + _team.bucket.rate() * span;
	const double part = kMostParts * all / static_cast<double>(m_liveness.members());
	// Requests differ in size. A large one passes where nothing else did of late; measured by its own size, four of
	// them passed at each gateway.
	const double mean = _team.rate.meanAmount();
	const double few = std::max(kFewRequests * mean, _amount + mean);
	return here + _amount > std::max(part, few);
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
		// What the others took meanwhile is told within moments. Decided before, a third of 77 gateways that stood
		// still let through what came meanwhile by the level of before, and were refused what the level of now
		// allows (quotastalltest).
		return {QuotaRefusalReason::Pending, FleetLiveness::kResumeTimeout};
	}
	recordSilentShare(team, _now);
	const Standing standing = standingOf(team, _now);
	const bool crowd = GossipPlan::usesCollectors(m_liveness.members()) && !standing.alone;
	const double admittedBefore = team.admitted;
	team.admitted += crowd ? admittedPart(team, standing.level, _amount, _now) : 0.0;
	// Any request passes while something is left, and what it takes beyond that is owed: a bucket that is nearly
	// empty would else let small requests through and never a large one.
	bool passes = crowd ? team.admitted >= 1.0 : standing.level > 0.0;
	if (passes && _waited < kLongestWaitForWord && exceedsPart(team, standing, _amount, _now))
	{
		if (!isRefusedMuch(team, _now))
		{
			team.admitted = admittedBefore;
			return {QuotaRefusalReason::Pending, kLongestWaitForWord};
		}
		passes = false;
	}
	team.rate.onDecided(_amount, passes, _now);
	if (!passes)
	{
		const QuotaVerdict verdict = refusal(team, standing, _amount);
		++team.tally.refused[verdict.bound];
		return verdict;
	}
	team.admitted = std::max(0.0, team.admitted - 1.0);
	pass(team, _amount, _now);
	return {};
}

void QuotaLedger::pass(Team& _team, double _amount, Micros _now) const
{
	++_team.tally.passed;
	_team.rate.onCharged(_amount, _now);
	_team.takenSinceWord = std::exchange(_team.words, m_words) == m_words ? _team.takenSinceWord : 0.0;
	_team.take(_amount, _now);
}

QuotaVerdict QuotaLedger::refusal(const Team& _team, const Standing& _standing, double _amount)
{
	const bool byShare = _standing.alone && _standing.own <= _standing.level;
	const QuotaRefusalReason bound = byShare                 ? QuotaRefusalReason::OwnShare
									 : _standing.level > 0.0 ? QuotaRefusalReason::Part
															 : QuotaRefusalReason::Level;
	return {bound, waitAt(_standing.level, _team, _amount)};
}

Micros QuotaLedger::waitAt(double _level, const Team& _team, double _amount)
{
	const double missing = kReadyShare * std::min(_amount, _team.bucket.burst()) - _level;
	const auto wait = static_cast<Micros>(missing / _team.bucket.rate() * static_cast<double>(kSecond));
	return std::clamp<Micros>(wait, kMillisecond, kLongestWait);
}

void QuotaLedger::charge(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		it->second.take(_amount, _now);
	}
}

void QuotaLedger::giveBack(const std::string& _team, double _amount, Micros _now)
{
	const auto it = m_teams.find(_team);
	if (it != m_teams.end())
	{
		// Only this copy is corrected: what was said to others stays said.
		it->second.bucket.record(-_amount, _now);
		it->second.own.record(-_amount, _now);
		it->second.ungranted.record(-_amount, _now);
	}
}

bool QuotaLedger::isRefusedMuch(const Team& _team, Micros _now)
{
	return _team.rate.refusedTimes(0.0, _now) > kRefusedMuch;
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
			const double all = team.rate.others(m_liveness.last()) + team.rate.own(_now);
			views.push_back({name, team.bucket.level(_now), team.takenHere, all});
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
