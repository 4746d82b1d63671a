// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A token bucket whose level follows from the recent takings alone.

#ifndef BEACONGATE_COORDINATION_TOKENBUCKET_H
#define BEACONGATE_COORDINATION_TOKENBUCKET_H

#include "beacongate/types.h"

#include <deque>

namespace beacongate
{
/// What all gateways took from one team's bucket of late, and the level that follows from it.
/// @remarks The level is worked out anew from the takings instead of being carried along. A difference between two
/// gateways (a start, a limit that took hold earlier here, a refund) therefore ends after kHistory at the latest;
/// a carried level would keep it for as long as the team stays over its limit.
class TokenBucket
{
public:
	/// Takings count in full for this long, and less and less until kHistory, so that no burst becomes free at one
	/// moment. In between lies the window over which a quota is checked (8 s on all deployments so far): what a
	/// team may have all the time, its rate and a burst for each such span, is 0.84 of what is tolerated in that
	/// window, and the rest is for news that are late. With 5 s and 10 s it was 0.91, and a third of 77 gateways
	/// that hear nothing for 3 s took 1.01 (quotastalltest, a team that asks for eight times its limit).
	static constexpr Micros kFullWeight = 7 * kSecond;
	/// Takings are forgotten after this span.
	static constexpr Micros kHistory = 12 * kSecond;

	/// Sets the limits.
	/// @param[in] _rate Amount per second; 0 or less for no limit.
	/// @remarks Where limits fall, what was taken under the old ones counts in proportion.
	void setLimits(double _rate, double _burst);

	/// @returns whether there is a limit.
	bool limited() const
	{
		return m_rate > 0.0;
	}

	/// @returns amount per second.
	double rate() const
	{
		return m_rate;
	}

	/// @returns amount on top of the rate.
	double burst() const
	{
		return m_burst;
	}

	/// @param[in] _part Of the limits that counts.
	/// @returns what may be taken; below 0 where too much was.
	double level(Micros _now, double _part = 1.0) const;

	/// Counts an amount as taken; a negative one gives back.
	void record(double _amount, Micros _now);

	/// @returns what was taken from a moment on.
	double takenSince(Micros _moment) const;

	/// Forgets what was taken, and counts as much as leaves a level.
	void setLevel(double _level, Micros _now);

	/// Counts an amount that was taken little by little since a moment, of which there is word only now.
	/// @remarks Counted as if all of it were taken now, a gateway that had heard nothing for 2.5 s took a team that
	/// asks for 0.6 of its limit for one that is over it, and refused it for a second (quotastalltest).
	void recordOver(double _amount, Micros _since, Micros _now);

private:
	/// Takings that lie close together.
	struct Interval
	{
		Micros since = 0; ///< The first of them.
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
