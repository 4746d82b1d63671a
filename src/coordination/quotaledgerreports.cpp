// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The part of the quota ledger that records the reports of other gateways.

#include "coordination/quotaledger.h"
#include "coordination/quotaledger_p.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace beacongate
{
namespace
{
/// Share of a team's rate. If usage in a long gap between two reports was below it, the usage is recorded as spread
/// over the gap, so that the bucket has refilled meanwhile. Faster usage is recorded as of now. When that was
/// spread as well, a team that requests eight times its limit used 1.00 to 1.20 of what is tolerated; with this
/// rule 0.89 to 0.96 (quotastalltest).
constexpr double kBelowLimitShare = 0.9;
/// Largest debt of a bucket, in bursts, or in seconds of the rate if that is more. Late reports must not lock a
/// team out for longer.
constexpr double kMaxDebt = 2.0;
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
	const bool isInAdoptedLevels = m_levelsAdopted && _uptime > _now - m_started;
	if (firstHeard && (isInAdoptedLevels || _uptime > TokenBucket::kHistory))
	{
		// Usage from before the first report of this peer may be old, so it is only the baseline.
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
	// While the peer was silent, its share of the rate was reserved for it and is recorded already.
	const double reserved = bucket.rate() * m_liveness.reservedRateSeconds(_peer, _now);
	const double unreserved = std::max(0.0, taken - reserved);
	const double maxCounted =
		std::max(0.0, bucket.level(_now) + kMaxDebt * std::max(bucket.burst(), bucket.rate()));
	const double counted = std::min(unreserved, maxCounted);
	const Micros since = m_liveness.unreportedSince(_peer, _now).value_or(_now);
	if (isBelowLimit(it->second, _now) &&
		taken < kBelowLimitShare * bucket.rate() * secondsOf(_now - since) * m_liveness.gatewayShareOf(_peer))
	{
		bucket.recordSpread(counted, since, _now);
	}
	else
	{
		bucket.record(counted, _now);
	}
	it->second.rate.onOthersUsage(unreserved, since, _now);
}

bool QuotaLedger::isBelowLimit(const Team& _team, Micros _now) const
{
	const double usedByAll = _team.rate.others(m_liveness.lastHeard()) + _team.rate.own(_now);
	return !isOverLimit(_team, _now) && usedByAll < kBelowLimitShare * _team.bucket.rate();
}

void QuotaLedger::recordGap(Micros _now)
{
	const Micros gap = m_liveness.age(_now);
	if (gap != kNever && gap > FleetLiveness::kReportGap)
	{
		for (const auto& [name, team] : m_teams)
		{
			const bool isRecorded = std::any_of(m_gaps.begin(), m_gaps.end(),
												[&name = name](const QuotaGap& _gap) { return _gap.team == name; });
			const double taken = team.reportCount == m_reportCount ? team.takenSinceReport : 0.0;
			if (taken > 0.0 && team.bucket.limited() && !isRecorded)
			{
				m_gaps.push_back({name, gap, taken, team.bucket.level(_now)});
			}
		}
	}
	++m_reportCount;
}

std::vector<QuotaGap> QuotaLedger::takeGaps()
{
	return std::exchange(m_gaps, {});
}

void QuotaLedger::onHeard(const std::string& _peer, Micros _now, Micros _confirmedAt, std::size_t _gateways)
{
	onTick(_now);
	recordGap(_now);
	m_liveness.onHeard(_peer, _now, _confirmedAt, _gateways);
}

void QuotaLedger::onSums(const std::string& _group, const std::string& _source, Micros _now, Micros _confirmedAt,
						 std::size_t _gateways)
{
	onTick(_now);
	recordGap(_now);
	const std::optional<Micros> unreported = m_liveness.onSums(_group, _source, _now, _confirmedAt, _gateways);
	if (unreported)
	{
		const double share = static_cast<double>(_gateways) / static_cast<double>(m_liveness.members());
		for (auto& [name, team] : m_teams)
		{
			recordUnreported(team, std::min(1.0, share), *unreported, _now);
		}
	}
}

void QuotaLedger::recordUnreported(Team& _team, double _share, Micros _span, Micros _now) const
{
	const double byFullRate = _team.bucket.rate() * secondsOf(_span) * _share;
	// Requests are spread evenly over all gateways, so usage here is representative of the usage at each of them,
	// unless it consists of only a few requests.
	const double ownUsage = _team.ungranted.takenSince(_now - _span);
	const double few = kFewRequests * _team.rate.meanAmount();
	const double byOwnUsage = ownUsage > few ? ownUsage * _share * static_cast<double>(m_liveness.members()) : 0.0;
	if (byOwnUsage > byFullRate)
	{
		_team.bucket.record(byOwnUsage, _now);
		return;
	}
	// Grants bound the usage of a team whose requests are granted one by one, so its previous rate applies.
	const bool usePriorRate = isGranted(_team, _team.rate.meanAmount()) && isBelowLimit(_team, _now);
	const double byPriorRate = _team.rate.others(m_liveness.lastHeard()) * secondsOf(_span) * _share;
	// The usage is spread over the time. When it was recorded as of now, teams below their limits were refused for
	// up to ten seconds at the gateways that had followed the previous collector (110 of 879 requests in a test
	// with 30 gateways).
	_team.bucket.recordSpread(usePriorRate ? std::min(byFullRate, byPriorRate) : byFullRate, _now - _span, _now);
}

} // namespace beacongate
