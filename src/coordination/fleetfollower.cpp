// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fleetfollower.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
double takenOf(const FleetSums& _sums, const std::string& _team)
{
	const auto found = std::find_if(_sums.quotas.begin(), _sums.quotas.end(),
									[&](const QuotaReport& _quota) { return _quota.team == _team; });
	return found == _sums.quotas.end() ? 0.0 : found->taken;
}

DemandReport demandOf(const FleetSums& _sums, const std::string& _service)
{
	const auto found = std::find_if(_sums.demand.begin(), _sums.demand.end(),
									[&](const DemandReport& _demand) { return _demand.service == _service; });
	return found == _sums.demand.end() ? DemandReport{_service, 0.0, 0.0} : *found;
}

void subtractLoad(std::vector<BackendLoad>& _loads, const BackendLoad& _own)
{
	const auto found =
		std::find_if(_loads.begin(), _loads.end(), [&](const BackendLoad& _load) { return _load.key == _own.key; });
	if (found != _loads.end())
	{
		found->inFlight -= std::min(found->inFlight, _own.inFlight);
		found->pendingTokens -= std::min(found->pendingTokens, _own.pendingTokens);
	}
}
} // namespace

void FleetFollower::onReportSent(Micros _sent, FleetSums _own)
{
	m_sentReports.push_back({_sent, std::move(_own)});
	if (m_sentReports.size() > kMaxReports)
	{
		m_sentReports.pop_front();
	}
}

std::optional<FleetSums> FleetFollower::sumsOfOthers(const GossipMessage& _sums)
{
	const auto sentReport = std::find_if(m_sentReports.begin(), m_sentReports.end(),
										 [&](const SentReport& _report) { return _report.sent == _sums.echo; });
	if (sentReport == m_sentReports.end())
	{
		return std::nullopt;
	}
	const FleetSums& own = sentReport->own;
	const std::string collector = _sums.host + '/' + std::to_string(_sums.run.incarnation);
	if (collector != m_collector)
	{
		m_collector = collector;
		m_ownAtFirst = own;
	}
	FleetSums others;
	others.gateways = _sums.gateways - std::min<std::size_t>(_sums.gateways, 1);
	for (const QuotaReport& quota : _sums.quotas)
	{
		const double ownPart = takenOf(own, quota.team) - takenOf(m_ownAtFirst, quota.team);
		others.quotas.push_back({quota.team, quota.taken - ownPart});
	}
	for (const DemandReport& demand : _sums.demand)
	{
		const DemandReport now = demandOf(own, demand.service);
		const DemandReport first = demandOf(m_ownAtFirst, demand.service);
		others.demand.push_back({demand.service, demand.work - (now.work - first.work),
								 demand.occupied - (now.occupied - first.occupied)});
	}
	others.loads = _sums.loads;
	for (const BackendLoad& load : own.loads)
	{
		subtractLoad(others.loads, load);
	}
	return others;
}

} // namespace beacongate
