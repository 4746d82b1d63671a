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
	double occupied = 0.0; ///< Slots held at engines, in seconds of a backend server with all its slots.
};

/// Averages the work over the last seconds.
class DemandMeter
{
public:
	/// The average is believed after this long.
	static constexpr Micros kSettling = 8 * kSecond;

	/// A prompt was sent to an engine.
	/// @param[in] readingSeconds For which it keeps the engine busy.
	void onPrompt(const std::string& _service, double _readingSeconds);

	/// A request at an engine ended.
	/// @param[in] duration For which it held a slot.
	void onSlotHeld(const std::string& _service, Micros _duration, unsigned _slots);

	/// A call at a plain service ended.
	void onCall(const std::string& _service, Micros _duration, unsigned _slots);

	/// A peer says how much it has brought.
	void onReport(const std::string& _peer, std::uint64_t _incarnation, const DemandReport& _report);

	/// Lets time pass; to be called several times a second.
	void advance(Micros _now);

	/// @returns backend servers that the present load keeps busy.
	double work(const std::string& _service) const;

	/// @returns backend servers whose slots the present load holds all the time.
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
