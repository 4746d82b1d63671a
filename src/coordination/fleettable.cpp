// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/fleettable.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr const char* kQuotaCounter = "quota/";
constexpr const char* kWorkCounter = "work/";
constexpr const char* kOccupiedCounter = "occupied/";

void addLoads(std::map<BackendKey, BackendLoad>& _totals, const std::vector<BackendLoad>& _loads)
{
	for (const BackendLoad& load : _loads)
	{
		BackendLoad& total = _totals[load.key];
		total.key = load.key;
		total.inFlight += load.inFlight;
		total.pendingTokens += load.pendingTokens;
	}
}
} // namespace

double CounterGrowth::increase(const std::string& _source, std::uint64_t _incarnation, const std::string& _counter,
							   double _value, bool _fromZero)
{
	Run& run = m_runs[_source];
	if (_incarnation < run.incarnation)
	{
		return 0.0;
	}
	if (_incarnation > run.incarnation)
	{
		run = {_incarnation, _fromZero, {}};
	}
	const auto [counter, isNew] = run.counters.try_emplace(_counter, run.fromZero ? 0.0 : _value);
	const double increased = std::max(0.0, _value - counter->second);
	counter->second += increased;
	return increased;
}

bool CounterGrowth::knows(const std::string& _source, std::uint64_t _incarnation) const
{
	const auto run = m_runs.find(_source);
	return run != m_runs.end() && run->second.incarnation == _incarnation;
}

void FleetTable::addIncreases(const std::string& _source, const GossipMessage& _message, bool _ownDataCentre)
{
	const std::uint64_t incarnation = _message.run.incarnation;
	const bool fromZero = _message.uptime <= kYoungRunUptime;
	for (const QuotaReport& quota : _message.quotas)
	{
		const double increased =
			m_counters.increase(_source, incarnation, kQuotaCounter + quota.team, quota.taken, fromZero);
		m_fleetTotals.quotas[quota.team] += increased;
		m_dataCentreTotals.quotas[quota.team] += _ownDataCentre ? increased : 0.0;
	}
	for (const DemandReport& demand : _message.demand)
	{
		const double work =
			m_counters.increase(_source, incarnation, kWorkCounter + demand.service, demand.work, fromZero);
		const double occupied =
			m_counters.increase(_source, incarnation, kOccupiedCounter + demand.service, demand.occupied, fromZero);
		DemandSum& fleet = m_fleetTotals.demand[demand.service];
		fleet.work += work;
		fleet.occupied += occupied;
		DemandSum& dataCentre = m_dataCentreTotals.demand[demand.service];
		dataCentre.work += _ownDataCentre ? work : 0.0;
		dataCentre.occupied += _ownDataCentre ? occupied : 0.0;
	}
	m_counters.onAllCountersReported(_source, incarnation);
}

void CounterGrowth::onAllCountersReported(const std::string& _source, std::uint64_t _incarnation)
{
	Run& run = m_runs[_source];
	if (_incarnation > run.incarnation)
	{
		run = {_incarnation, true, {}}; // The run has no counters yet.
	}
	run.fromZero = true;
}

bool FleetTable::onReport(const GossipMessage& _report, Micros _now)
{
	Source& source = m_sources[_report.host];
	source.heard = _now;
	source.loads = _report.loads;
	if (!_report.whole && !m_counters.knows(_report.host, _report.run.incarnation))
	{
		return false;
	}
	addIncreases(_report.host, _report, true);
	return true;
}

bool FleetTable::onDataCentreSums(const GossipMessage& _sums, Micros _now)
{
	const std::string collector = _sums.host + '/' + std::to_string(_sums.run.incarnation);
	DataCentre& dataCentre = m_dataCentres[_sums.dataCentre];
	const bool isOther = dataCentre.collector != collector;
	if (isOther && _now - dataCentre.sums.heard <= kCollectorTimeout)
	{
		return false;
	}
	dataCentre.collector = collector;
	dataCentre.sums = {_now, _sums.gateways, _sums.loads};
	addIncreases("centre/" + _sums.host, _sums, false);
	return true;
}

void FleetTable::expire(Micros _now)
{
	std::erase_if(m_sources, [_now](const auto& _entry) { return _now - _entry.second.heard > kEntryLifetime; });
	for (auto& [name, dataCentre] : m_dataCentres)
	{
		if (_now - dataCentre.sums.heard > kEntryLifetime)
		{
			dataCentre.sums.loads.clear();
			dataCentre.sums.gateways = 0;
		}
	}
}

FleetSums FleetTable::sumsOf(const Totals& _totals, const std::map<BackendKey, BackendLoad>& _loads,
							 std::size_t _gateways)
{
	FleetSums sums;
	sums.gateways = _gateways;
	for (const auto& [team, taken] : _totals.quotas)
	{
		sums.quotas.push_back({team, taken});
	}
	for (const auto& [service, work] : _totals.demand)
	{
		sums.demand.push_back({service, work.work, work.occupied});
	}
	for (const auto& [key, load] : _loads)
	{
		sums.loads.push_back(load);
	}
	return sums;
}

FleetSums FleetTable::dataCentreSums() const
{
	std::map<BackendKey, BackendLoad> loads;
	for (const auto& [host, source] : m_sources)
	{
		addLoads(loads, source.loads);
	}
	return sumsOf(m_dataCentreTotals, loads, m_sources.size());
}

FleetSums FleetTable::fleetSums() const
{
	std::map<BackendKey, BackendLoad> loads;
	std::size_t gateways = m_sources.size();
	for (const auto& [host, source] : m_sources)
	{
		addLoads(loads, source.loads);
	}
	for (const auto& [name, dataCentre] : m_dataCentres)
	{
		addLoads(loads, dataCentre.sums.loads);
		gateways += dataCentre.sums.gateways;
	}
	return sumsOf(m_fleetTotals, loads, gateways);
}

} // namespace beacongate
