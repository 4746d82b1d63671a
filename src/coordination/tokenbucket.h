// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A token bucket whose level is calculated from its recent usage alone.

#ifndef BEACONGATE_COORDINATION_TOKENBUCKET_H
#define BEACONGATE_COORDINATION_TOKENBUCKET_H

#include "beacongate/types.h"

#include <deque>

namespace beacongate
{
/// The recent usage of one team at all gateways, and the bucket level that follows from it.
/// @remarks The level is calculated from the usage each time instead of being stored. A difference between two
/// gateways (after a start, a limit that took effect earlier on one of them, or a refund) therefore ends after
/// kHistory at the latest. A stored level would keep the difference for as long as the team is over its limit.
class TokenBucket
{
public:
	/// Age up to which usage counts in full. Its weight then falls to 0 at kHistory, so that no burst becomes
	/// available again all at once.
	/// @remarks Quotas are checked over a window that lies between the two (8 s on all deployments so far). What a
	/// team may use all the time, its rate and one burst for each such span, is 0.84 of what is tolerated in that
	/// window; the rest is for late reports. With 5 s and 10 s the share was 0.91, and a third of 77 gateways that
	/// received nothing for 3 s admitted 1.01 of what is tolerated (quotastalltest, a team that asks for eight
	/// times its limit).
	static constexpr Micros kFullWeight = 7 * kSecond;
	/// Age at which usage is forgotten.
	static constexpr Micros kHistory = 12 * kSecond;

	/// Sets the limits.
	/// @param[in] _rate Amount per second; 0 or less for no limit.
	/// @remarks If the limits fall, usage under the old ones is scaled down in proportion.
	void setLimits(double _rate, double _burst);

	/// @returns true if there is a limit.
	bool limited() const
	{
		return m_rate > 0.0;
	}

	/// @returns the amount per second.
	double rate() const
	{
		return m_rate;
	}

	/// @returns the amount on top of the rate.
	double burst() const
	{
		return m_burst;
	}

	/// @param[in] _share Share of the limits that applies.
	/// @returns the amount that may be used; less than 0 if usage is over the limit.
	double level(Micros _now, double _share = 1.0) const;

	/// Records usage; a negative amount is a refund.
	void record(double _amount, Micros _now);

	/// @returns the usage since a time.
	double takenSince(Micros _moment) const;

	/// Replaces the recorded usage by an amount that results in the level.
	void setLevel(double _level, Micros _now);

	/// Records usage that is reported only now but was spread evenly over the time from _since to _now.
	/// @remarks If all of it were recorded at the present time, a gateway that had received nothing for 2.5 s would
	/// treat a team at 0.6 of its limit as over the limit, and refuse it for a second (quotastalltest).
	void recordSpread(double _amount, Micros _since, Micros _now);

private:
	/// Usage within a short time, merged into one entry.
	struct Interval
	{
		Micros since = 0; ///< Time of the first usage.
		double amount = 0.0;
	};

	void forgetOld(Micros _now);
	void add(double _amount, Micros _at);

	double m_rate = 0.0;
	double m_burst = 0.0;
	std::deque<Interval> m_intervals; ///< Oldest first; bounded by kHistory.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_TOKENBUCKET_H
