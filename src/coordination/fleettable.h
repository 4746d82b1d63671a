// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The sums that a collector keeps: over its own data centre from the gateways' reports, and over the other data
/// centres from the sums of their collectors.
///
/// Collectors bound the delay and the traffic of large fleets. With random peers, a gateway of 295 heard from
/// another one every 2.7 s and sent and received 107 datagrams a second. A collector answers every 250 ms whatever
/// the size of the fleet, and an ordinary gateway sends 8 datagrams a second and receives 4.

#ifndef BEACONGATE_COORDINATION_FLEETTABLE_H
#define BEACONGATE_COORDINATION_FLEETTABLE_H

#include "coordination/gossip.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace beacongate
{
/// Counters and loads summed over several gateways.
struct FleetSums
{
	std::size_t gateways = 0;         ///< Number of gateways that were heard recently.
	std::vector<QuotaReport> quotas;  ///< Counters that only grow within a run of the collector that sends them.
	std::vector<DemandReport> demand; ///< Counters that only grow, as above.
	std::vector<BackendLoad> loads;   ///< Loads as they were last reported.
};

/// Converts counters that only grow within a run of their source into increases.
class CounterGrowth
{
public:
	/// Records a counter's value.
	/// @param[in] _fromZero Applies to a run that was not known before: true if the run started so recently that
	/// its counters are counted from 0; false if their first values are the baseline.
	/// @returns the increase since the last value.
	double increase(const std::string& _source, std::uint64_t _incarnation, const std::string& _counter,
					double _value, bool _fromZero);

	/// Records that a run has reported all of its counters. Any counter that it reports later starts at 0.
	void onAllCountersReported(const std::string& _source, std::uint64_t _incarnation);

	/// @returns true if the run has reported before.
	bool knows(const std::string& _source, std::uint64_t _incarnation) const;

private:
	struct Run
	{
		std::uint64_t incarnation = 0;
		bool fromZero = false;
		std::map<std::string, double> counters;
	};

	std::map<std::string, Run> m_runs; ///< By source, with an entry for each one that has ever reported.
};

/// The tables and sums of one collector.
class FleetTable
{
public:
	/// Time for which a gateway's loads and a data centre's loads count after they were received: six rounds.
	static constexpr Micros kEntryLifetime = 1500 * kMillisecond;
	/// Time without sums from a data centre's current collector after which another collector's sums are accepted.
	static constexpr Micros kCollectorTimeout = 700 * kMillisecond;
	/// Uptime up to which a run's counters are counted from 0, since all of them are recent. It is the span that
	/// quotas look back over.
	static constexpr Micros kYoungRunUptime = TokenBucket::kHistory;

	/// Records a report of a gateway of this data centre, including this one.
	/// @returns true if its counters were accepted. The first report of a run must contain all of its counters.
	bool onReport(const GossipMessage& _report, Micros _now);

	/// Records the sums of another data centre.
	/// @returns true if they came from the collector that is currently followed for it. The sums of any other are
	/// ignored, so that nothing is counted twice.
	bool onDataCentreSums(const GossipMessage& _sums, Micros _now);

	/// Removes loads and gateways that have not been heard for kEntryLifetime. Must be called before sums are read.
	void expire(Micros _now);

	/// @returns the sums over this data centre.
	FleetSums dataCentreSums() const;

	/// @returns the sums over the whole fleet.
	FleetSums fleetSums() const;

private:
	struct Source
	{
		Micros heard = kLongAgo;
		std::size_t gateways = 1;
		std::vector<BackendLoad> loads;
	};

	struct DataCentre
	{
		std::string collector; ///< Host and incarnation of the collector that is followed.
		Source sums;
	};

	struct DemandSum
	{
		double work = 0.0;
		double occupied = 0.0;
	};

	struct Totals
	{
		std::map<std::string, double> quotas;
		std::map<std::string, DemandSum> demand;
	};

	void addIncreases(const std::string& _source, const GossipMessage& _message, bool _ownDataCentre);
	static FleetSums sumsOf(const Totals& _totals, const std::map<BackendKey, BackendLoad>& _loads,
							std::size_t _gateways);

	CounterGrowth m_counters;
	Totals m_dataCentreTotals;
	Totals m_fleetTotals;
	std::map<std::string, Source> m_sources;         ///< Gateways of this data centre by host.
	std::map<std::string, DataCentre> m_dataCentres; ///< Other data centres by name.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FLEETTABLE_H
