// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/quotagrantor.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr Micros kAskersSpan = 1 * kSecond; ///< Over which askers are counted.
constexpr Micros kGrantsSpan = 1 * kSecond; ///< For which grants are kept at least: longer than any ask waits.
} // namespace

QuotaGrantAnswer QuotaGrantor::decide(const QuotaGrantRequest& _ask, const std::string& _asker, Micros _now)
{
	if (wasGranted(_asker, _ask.id, _now))
	{
		return {_ask.id, GrantOutcome::Granted, 0, 0, _ask.team, _ask.amount};
	}
	const QuotaGrant grant = m_ledger.grant(_ask.team, _ask.amount, _now);
	QuotaGrantAnswer answer{_ask.id, grant.outcome, grant.wait, 0, _ask.team, _ask.amount};
	if (grant.outcome != GrantOutcome::Granted && grant.outcome != GrantOutcome::Refused)
	{
		return answer;
	}
	const std::size_t askers = count(_ask.team, _asker, _now);
	if (grant.outcome == GrantOutcome::Granted)
	{
		m_grants.now.emplace(_asker, _ask.id);
	}
	else
	{
		// An asker comes again after each hold, so that all of them together ask so many times a second.
		const double allowed = kAsksAllowed + kAsksForEachGrant * m_ledger.requestsPerSecond(_ask.team);
		const auto spread =
			static_cast<Micros>(static_cast<double>(askers) / allowed * static_cast<double>(kSecond));
		answer.hold = std::min(std::max(grant.wait, spread), kLongestHold);
	}
	return answer;
}

bool QuotaGrantor::wasGranted(const std::string& _asker, std::uint64_t _id, Micros _now)
{
	if (_now - m_grants.began >= kGrantsSpan)
	{
		m_grants.before = std::exchange(m_grants.now, {});
		m_grants.began = _now;
	}
	const std::pair<std::string, std::uint64_t> key(_asker, _id);
	return m_grants.now.count(key) != 0 || m_grants.before.count(key) != 0;
}

std::size_t QuotaGrantor::count(const std::string& _team, const std::string& _asker, Micros _now)
{
	Askers& askers = m_askers[_team];
	if (_now - askers.began >= kAskersSpan)
	{
		const bool lately = _now - askers.began < 2 * kAskersSpan;
		askers.before = lately ? std::exchange(askers.now, {}) : std::set<std::string>();
		askers.now.clear();
		askers.began = _now;
	}
	askers.now.insert(_asker);
	return std::max(askers.now.size(), askers.before.size());
}

void QuotaGrantor::onReturn(const QuotaGrantReturn& _return, Micros _now)
{
	m_ledger.takeBack(_return.team, _return.amount, _now);
}

} // namespace beacongate
