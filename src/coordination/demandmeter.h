// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Measures the demand of all gateways for each service, as the number of backend servers that it keeps busy.

#ifndef BEACONGATE_COORDINATION_DEMANDMETER_H
#define BEACONGATE_COORDINATION_DEMANDMETER_H

#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// One gateway's demand for a service since the gateway started, in seconds of one backend server. It never
/// decreases.
struct DemandReport
{
	std::string service;
	double work = 0.0;     ///< Time for prompt processing, or for calls of a plain service.
	double occupied = 0.0; ///< Time for which slots of engines are held, divided by the slots of a backend server.
};

/// Averages the demand over the last seconds.
class DemandMeter
{
public:
	/// Time after the first demand until the average is reliable.
	static constexpr Micros kSettling = 8 * kSecond;

	/// Counts an engine request at its arrival.
	/// @param[in] _prefillSeconds Time for which its prompt occupies an engine.
	/// @param[in] _holdSeconds Time for which it then holds a slot of an engine that is not overloaded.
	/// @param[in] _slots Slots of an engine.
	/// @remarks Requests count whether they are served or not. Where engines are missing, the requests that were
	/// sent to them are fewer than the demand, and they hold their slots for longer.
	void onArrival(const std::string& _service, double _prefillSeconds, double _holdSeconds, unsigned _slots);

	/// Counts a completed call of a plain service.
	void onCall(const std::string& _service, Micros _duration, unsigned _slots);

	/// Records the demand that a peer reports.
	void onReport(const std::string& _peer, std::uint64_t _incarnation, const DemandReport& _report);

	/// Updates the averages. Must be called several times a second.
	void advance(Micros _now);

	/// @returns the number of backend servers that the current demand keeps busy.
	double work(const std::string& _service) const;

	/// @returns the number of backend servers whose slots the current demand would hold all the time if none was
	/// overloaded.
	double occupied(const std::string& _service) const;

	/// @returns true if demand has been seen for longer than kSettling.
	bool settled(const std::string& _service, Micros _now) const;

	/// @returns this gateway's demand since it started, by service.
	std::vector<DemandReport> ownReports() const;

private:
	/// An exponential average and its decaying peak.
	struct Average
	{
		double added = 0.0; ///< Amount added since the last step.
		double rate = 0.0;
		double recentPeak = 0.0;

		void step(double _elapsed);
	};

	struct PeerDemand
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
		Micros firstDemand = kNever;
		std::map<std::string, PeerDemand> peers;
	};

	static void addIncrease(Average& _average, double& _previous, double _reported);

	std::map<std::string, Service> m_services;
	Micros m_advanced = 0;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DEMANDMETER_H
