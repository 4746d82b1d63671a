// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/quotagrantor.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr Micros kRequesterWindow = 1 * kSecond; ///< Window in which requesters are counted.
/// Minimum time for which grants are kept: longer than any request waits.
constexpr Micros kGrantWindow = 1 * kSecond;
} // namespace

QuotaGrantAnswer QuotaGrantor::decide(const QuotaGrantRequest& _request, const std::string& _requester, Micros _now)
{
	if (wasGranted(_requester, _request.id, _now))
	{
		return {_request.id, GrantOutcome::Granted, 0, 0, _request.team, _request.amount};
	}
	const QuotaGrant grant = m_ledger.grant(_request.team, _request.amount, _now);
	QuotaGrantAnswer answer{_request.id, grant.outcome, grant.wait, 0, _request.team, _request.amount};
	if (grant.outcome != GrantOutcome::Granted && grant.outcome != GrantOutcome::Refused)
	{
		return answer;
	}
	const std::size_t requesters = countRequester(_request.team, _requester, _now);
	if (grant.outcome == GrantOutcome::Granted)
	{
		m_grants.current.emplace(_requester, _request.id);
	}
	else
	{
		// Each requester asks again after its hold, so this hold keeps all of them together at the allowed rate.
		const double allowedRate = kBaseRequestRate + kRequestsPerGrant * m_ledger.requestsPerSecond(_request.team);
		const auto rateHold =
			static_cast<Micros>(static_cast<double>(requesters) / allowedRate * static_cast<double>(kSecond));
		answer.hold = std::min(std::max(grant.wait, rateHold), kMaxHold);
	}
	return answer;
}

bool QuotaGrantor::wasGranted(const std::string& _requester, std::uint64_t _id, Micros _now)
{
	if (_now - m_grants.began >= kGrantWindow)
	{
		m_grants.previous = std::exchange(m_grants.current, {});
		m_grants.began = _now;
	}
	const std::pair<std::string, std::uint64_t> key(_requester, _id);
	return m_grants.current.count(key) != 0 || m_grants.previous.count(key) != 0;
}

std::size_t QuotaGrantor::countRequester(const std::string& _team, const std::string& _requester, Micros _now)
{
	Requesters& requesters = m_requesters[_team];
	if (_now - requesters.began >= kRequesterWindow)
	{
		const bool isAdjacent = _now - requesters.began < 2 * kRequesterWindow;
		requesters.previous = isAdjacent ? std::exchange(requesters.current, {}) : std::set<std::string>();
		requesters.current.clear();
		requesters.began = _now;
	}
	requesters.current.insert(_requester);
	return std::max(requesters.current.size(), requesters.previous.size());
}

void QuotaGrantor::onReturn(const QuotaGrantReturn& _return, Micros _now)
{
	m_ledger.onGrantReturned(_return.team, _return.amount, _now);
}

} // namespace beacongate
