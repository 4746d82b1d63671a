// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/quotaledger.h"

#include "coordination/gossipplan.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr double kStartShare = 0.5; ///< Of the burst, at a start: what others have is not known yet.
constexpr double kReadyShare = 0.1; ///< Of a request, that has to be there when its caller comes back.
constexpr Micros kLongestWait = 5 * kSecond;

double secondsOf(Micros span)
{
	return static_cast<double>(span) / static_cast<double>(kSecond);
}
} // namespace

void QuotaLedger::configure(const RoutingConfig& config, Micros now)
{
	const double startShare = kStartShare / static_cast<double>(m_members);
	for (const TeamAccess& team : config.teams)
	{
		const auto [it, added] = m_buckets.try_emplace(team.name);
		Bucket& bucket = it->second;
		const bool unlimitedBefore = added || bucket.rate <= 0.0;
		refill(bucket, now);
		bucket.rate = team.ratePerSecond;
		bucket.burst = team.burst;
		bucket.level = unlimitedBefore ? bucket.burst * startShare : std::min(bucket.level, bucket.burst);
	}
	for (auto& [name, bucket] : m_buckets)
	{
		const bool present = std::any_of(config.teams.begin(), config.teams.end(),
										 [&name = name](const TeamAccess& team) { return team.name == name; });
		bucket.rate = present ? bucket.rate : 0.0;
	}
}

void QuotaLedger::setMembers(std::size_t members)
{
	m_members = std::max<std::size_t>(1, members);
}

Micros QuotaLedger::silence() const
{
	return std::max(kSilence, 2 * GossipPlan::hearingSpan(m_members));
}

double QuotaLedger::leftToPeer(const Bucket& bucket, Micros lastHeard, Micros now) const
{
	const Micros silent = std::max<Micros>(0, now - lastHeard - silence());
	return bucket.rate * secondsOf(silent) / static_cast<double>(m_members);
}

double QuotaLedger::fillShare(Micros now) const
{
	std::size_t heard = 1;
	for (const auto& [peer, last] : m_heard)
	{
		heard += now - last <= silence() ? 1 : 0;
	}
	const auto members = static_cast<double>(std::max(m_members, heard));
	return static_cast<double>(heard) / members;
}

void QuotaLedger::refill(Bucket& bucket, Micros now) const
{
	const double added = bucket.rate * fillShare(now) * secondsOf(now - bucket.filled);
	bucket.level = std::min(bucket.burst, bucket.level + added);
	bucket.filled = now;
}

Micros QuotaLedger::take(const std::string& team, double amount, Micros now)
{
	const auto it = m_buckets.find(team);
	if (it == m_buckets.end())
	{
		return 0;
	}
	Bucket& bucket = it->second;
	if (bucket.rate <= 0.0)
	{
		bucket.takenHere += amount;
		return 0;
	}
	refill(bucket, now);
	// Any request passes while something is left, and what it takes beyond that is owed: a bucket that is nearly
	// empty would else let small requests through and never a large one.
	if (bucket.level <= 0.0)
	{
		const double wait = (-bucket.level + kReadyShare * std::min(amount, bucket.burst)) / bucket.rate;
		return std::clamp<Micros>(static_cast<Micros>(wait * static_cast<double>(kSecond)), kMillisecond,
								  kLongestWait);
	}
	bucket.level -= amount;
	bucket.takenHere += amount;
	return 0;
}

void QuotaLedger::giveBack(const std::string& team, double amount)
{
	const auto it = m_buckets.find(team);
	if (it != m_buckets.end())
	{
		// Only this copy is filled again: what was said to others stays said.
		it->second.level = std::min(it->second.burst, it->second.level + amount);
	}
}

void QuotaLedger::onReport(const std::string& peer, std::uint64_t incarnation, const QuotaReport& report,
						   Micros now)
{
	PeerCount& count = m_peerCounts[peer][report.team];
	if (incarnation < count.incarnation)
	{
		return;
	}
	const auto heard = m_heard.find(peer);
	if (heard == m_heard.end())
	{
		// What it took before it was known cannot be told apart from old work.
		count = {incarnation, report.taken};
		return;
	}
	const double before = incarnation > count.incarnation ? 0.0 : count.taken;
	const double taken = report.taken - before;
	count = {incarnation, std::max(before, report.taken)};
	const auto it = m_buckets.find(report.team);
	if (taken <= 0.0 || it == m_buckets.end())
	{
		return;
	}
	Bucket& bucket = it->second;
	refill(bucket, now);
	// While it was silent, its share of the rate was left to it and not filled in here.
	const double owed = std::max(0.0, taken - leftToPeer(bucket, heard->second, now));
	// Late news of old work must not shut a team out for longer than the burst is worth.
	bucket.level = std::max(bucket.level - owed, -2.0 * bucket.burst);
}

void QuotaLedger::onHeard(const std::string& peer, Micros now)
{
	m_heard[peer] = now;
}

double QuotaLedger::takenHere(const std::string& team) const
{
	const auto it = m_buckets.find(team);
	return it == m_buckets.end() ? 0.0 : it->second.takenHere;
}

} // namespace beacongate
