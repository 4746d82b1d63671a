// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The half of the quota ledger that takes in what other gateways report.

#include "coordination/quotaledger.h"
#include "coordination/quotaledger_p.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace beacongate
{
namespace
{
/// Of its rate, below which what a team had in a long gap between two words is counted as taken little by little,
/// so that the bucket filled meanwhile. What came faster is counted as taken now: counted little by little as well,
/// a team that asks for eight times its limit had 1.00 to 1.20 of what is tolerated, so 0.89 to 0.96
/// (quotastalltest).
constexpr double kBelowRate = 0.9;
/// Bursts, or seconds of the rate where that is more. Late news must not shut a team out for longer.
constexpr double kMostDebt = 2.0;
} // namespace

void QuotaLedger::onReport(const std::string& _peer, std::uint64_t _incarnation, const QuotaReport& _report,
						   Micros _now, Micros _uptime)
{
	PeerCount& count = m_peerCounts[_peer][_report.team];
	if (_incarnation < count.incarnation)
	{
		return;
	}
	onTick(_now);
	const bool firstHeard = !m_liveness.knows(_peer);
	const bool toldAlready = m_adopted && _uptime > _now - m_started;
	if (firstHeard && (toldAlready || _uptime > TokenBucket::kHistory))
	{
		// What it took before it was known cannot be told apart from old work.
		count = {_incarnation, _report.taken};
		return;
	}
	const double before = _incarnation > count.incarnation ? 0.0 : count.taken;
	const double taken = _report.taken - before;
	count = {_incarnation, std::max(before, _report.taken)};
	const auto it = m_teams.find(_report.team);
	if (taken <= 0.0 || it == m_teams.end() || !it->second.bucket.limited())
	{
		return;
	}
	TokenBucket& bucket = it->second.bucket;
	recordSilentShare(it->second, _now);
	// While it was silent, its share of the rate was left to it and is recorded already.
	const double left = bucket.rate() * m_liveness.secondsLeftTo(_peer, _now);
	const double owed = std::max(0.0, taken - left);
	const double most = std::max(0.0, bucket.level(_now) + kMostDebt * std::max(bucket.burst(), bucket.rate()));
	const double counted = std::min(owed, most);
	const Micros since = m_liveness.unheardSince(_peer, _now).value_or(_now);
	if (isBelow(it->second, _now) &&
		taken < kBelowRate * bucket.rate() * secondsOf(_now - since) * m_liveness.shareOf(_peer))
	{
		bucket.recordOver(counted, since, _now);
	}
	else
	{
		bucket.record(counted, _now);
	}
	it->second.rate.onOthers(owed, since, _now);
}

bool QuotaLedger::isBelow(const Team& _team, Micros _now) const
{
	const double all = _team.rate.others(m_liveness.last()) + _team.rate.own(_now);
	return !isRefusedMuch(_team, _now) && all < kBelowRate * _team.bucket.rate();
}

void QuotaLedger::noteGap(Micros _now)
{
	const Micros gap = m_liveness.age(_now);
	if (gap != kNever && gap > FleetLiveness::kGap)
	{
		for (const auto& [name, team] : m_teams)
		{
			const bool noted = std::any_of(m_gaps.begin(), m_gaps.end(),
										   [&name = name](const QuotaGap& _gap) { return _gap.team == name; });
			const double taken = team.words == m_words ? team.takenSinceWord : 0.0;
			if (taken > 0.0 && team.bucket.limited() && !noted)
			{
				m_gaps.push_back({name, gap, taken, team.bucket.level(_now)});
			}
		}
	}
	++m_words;
}

std::vector<QuotaGap> QuotaLedger::takeGaps()
{
	return std::exchange(m_gaps, {});
}

void QuotaLedger::onHeard(const std::string& _peer, Micros _now, Micros _proved, std::size_t _gateways)
{
	onTick(_now);
	noteGap(_now);
	m_liveness.onHeard(_peer, _now, _proved, _gateways);
}

void QuotaLedger::onSums(const std::string& _group, const std::string& _source, Micros _now, Micros _proved,
						 std::size_t _gateways)
{
	onTick(_now);
	noteGap(_now);
	const std::optional<Micros> unreported = m_liveness.onSums(_group, _source, _now, _proved, _gateways);
	if (unreported)
	{
		const double part = static_cast<double>(_gateways) / static_cast<double>(m_liveness.members());
		for (auto& [name, team] : m_teams)
		{
			recordUnreported(team, std::min(1.0, part), *unreported, _now);
		}
	}
}

void QuotaLedger::recordUnreported(Team& _team, double _part, Micros _span, Micros _now) const
{
	const double atRate = _team.bucket.rate() * secondsOf(_span) * _part;
	// Callers come to all gateways alike: what passed here tells what passed at each of them, unless it is so few
	// requests that chance decides.
	const double here = _team.ungranted.takenSince(_now - _span);
	const double few = kFewRequests * _team.rate.meanAmount();
	const double asHere = here > few ? here * _part * static_cast<double>(m_liveness.members()) : 0.0;
	if (asHere > atRate)
	{
		_team.bucket.record(asHere, _now);
		return;
	}
	// Grants bound what passed of a team that is granted its requests one by one: its rate of before tells it.
	const bool known = isGranted(_team, _team.rate.meanAmount()) && isBelow(_team, _now);
	const double asBefore = _team.rate.others(m_liveness.last()) * secondsOf(_span) * _part;
	// Little by little: counted as taken now, teams below their limits were refused for up to ten seconds at the
	// gateways that had followed the collector before (soak of 30 gateways: 110 of 879 requests).
	_team.bucket.recordOver(known ? std::min(atRate, asBefore) : atRate, _now - _span, _now);
}

} // namespace beacongate
