// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Sums over gateways that a collector keeps: of its own data centre from their reports, of the others from the
/// sums of their collectors.
///
/// It answers for large fleets. With random peers, a gateway of 295 heard of another one every 2.7 s and sent and
/// took in 107 datagrams a second; a collector is heard every 250 ms whatever the fleet's size, and an ordinary
/// gateway sends 8 datagrams a second and takes in 4.

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
/// What some gateways did together.
struct FleetSums
{
	std::size_t gateways = 0;         ///< That were heard of late.
	std::vector<QuotaReport> quotas;  ///< Grow within the run of the collector that tells them.
	std::vector<DemandReport> demand; ///< Grow likewise.
	std::vector<BackendLoad> loads;   ///< As they were last told.
};

/// Turns counters that grow within a run of their source into what was added to them.
class CounterGrowth
{
public:
	/// @param[in] _fromZero A run that was not known before began so lately that all of its counts are news; else
	/// what it counted so far is where counting begins.
	/// @returns what was added since the last value.
	double add(const std::string& _source, std::uint64_t _incarnation, const std::string& _counter, double _value,
			   bool _fromZero);

	/// A run named all counters that it has: others begin at zero.
	void onAllNamed(const std::string& _source, std::uint64_t _incarnation);

	/// @returns whether a run was met before.
	bool knows(const std::string& _source, std::uint64_t _incarnation) const;

private:
	struct Run
	{
		std::uint64_t incarnation = 0;
		bool fromZero = false;
		std::map<std::string, double> counters;
	};

	std::map<std::string, Run> m_runs; ///< By source; one for each gateway that ever reported.
};

/// The sums of one collector.
class FleetTable
{
public:
	/// Loads of a gateway, and sums of a data centre, count for this long after they were heard: six rounds.
	static constexpr Micros kLife = 1500 * kMillisecond;
	/// Another collector of a data centre is listened to once the one before was silent for this long.
	static constexpr Micros kCollectorSilence = 700 * kMillisecond;
	/// A run that is younger tells counts that are all of late; the span over which quotas look back.
	static constexpr Micros kYoung = TokenBucket::kHistory;

	/// A gateway of this data centre, this one included, reports.
	/// @returns whether its counters were taken: the first report of a run has to name all of them.
	bool onReport(const GossipMessage& _report, Micros _now);

	/// A collector tells the sums of its data centre.
	/// @returns whether it is the one that is listened to, so that none is counted twice.
	bool onDataCentreSums(const GossipMessage& _sums, Micros _now);

	/// Leaves out what was not heard of late; to be called before sums are asked for.
	void expire(Micros _now);

	/// @returns sums over this data centre.
	FleetSums dataCentreSums() const;

	/// @returns sums over the whole fleet.
	FleetSums fleetSums() const;

private:
	struct Source
	{
		Micros heard = kLongAgo;
		std::size_t gateways = 1;
		std::vector<BackendLoad> loads;
	};

	struct Centre
	{
		std::string collector; ///< Its host and run.
		Source sums;
	};

	struct Work
	{
		double work = 0.0;
		double occupied = 0.0;
	};

	struct Totals
	{
		std::map<std::string, double> quotas;
		std::map<std::string, Work> demand;
	};

	void addGrowth(const std::string& _source, const GossipMessage& _message, bool _ofThisCentre);
	static FleetSums sumsOf(const Totals& _totals, const std::map<BackendKey, BackendLoad>& _loads,
							std::size_t _gateways);

	CounterGrowth m_growth;
	Totals m_centreTotals;
	Totals m_fleetTotals;
	std::map<std::string, Source> m_sources; ///< Gateways of this data centre by host.
	std::map<std::string, Centre> m_centres; ///< Other data centres by name.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_FLEETTABLE_H
