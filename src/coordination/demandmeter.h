// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How much work all gateways bring to each service, in backend servers that it would keep busy.

#ifndef BEACONGATE_COORDINATION_DEMANDMETER_H
#define BEACONGATE_COORDINATION_DEMANDMETER_H

#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// A gateway's work for one service since it started, in seconds of a backend server; it only grows.
struct DemandReport
{
	std::string service;
	double work = 0.0;     ///< Reading prompts, or running calls of a plain service.
	double occupied = 0.0; ///< Slots to be held at engines, in seconds of a backend server with all its slots.
};

/// Averages the work over the last seconds.
class DemandMeter
{
public:
	/// The average is believed after this long.
	static constexpr Micros kSettling = 8 * kSecond;

	/// A request for an engine arrived. What is asked for counts, be it served or not: where engines are missing,
	/// what was sent to them falls short of the load, and what they hold is held for longer.
	/// @param[in] prefillSeconds For which its prompt keeps an engine busy.
	/// @param[in] holdSeconds For which it then holds a slot at an engine that is not crowded.
	/// @param[in] slots Of an engine.
	void onArrival(const std::string& _service, double _readingSeconds, double _holdSeconds, unsigned _slots);

	/// A call at a plain service ended.
	void onCall(const std::string& _service, Micros _duration, unsigned _slots);

	/// A peer says how much it has brought.
	void onReport(const std::string& _peer, std::uint64_t _incarnation, const DemandReport& _report);

	/// Lets time pass; to be called several times a second.
	void advance(Micros _now);

	/// @returns backend servers that the present load keeps busy.
	double work(const std::string& _service) const;

	/// @returns backend servers whose slots the present load would hold all the time, were they not crowded.
	double occupied(const std::string& _service) const;

	/// @returns whether work was seen for long enough.
	bool settled(const std::string& _service, Micros _now) const;

	/// @returns what this gateway has brought.
	std::vector<DemandReport> ownReports() const;

private:
	/// An average of the last seconds, and its peak of late.
	struct Average
	{
		double fresh = 0.0; ///< Since the last step.
		double rate = 0.0;
		double recentPeak = 0.0;

		void step(double _passed);
	};

	struct PeerWork
	{
		std::uint64_t incarnation = 0;
		double work = 0.0;
		double occupied = 0.0;
	};

	struct Service
	{
		double ownWork = 0.0;
		double ownOccupied = 0.0;
		Average work;
		Average occupied;
		Micros firstWork = kNever;
		std::map<std::string, PeerWork> peers;
	};

	static void addGrowth(Average& _average, double& _known, double _reported);

	std::map<std::string, Service> m_services;
	Micros m_advanced = 0;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DEMANDMETER_H
