// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Estimates the rate at which a team's quota is used, as far as one gateway knows.

#ifndef BEACONGATE_COORDINATION_USAGERATE_H
#define BEACONGATE_COORDINATION_USAGERATE_H

#include "beacongate/types.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
/// Decaying averages of the usage at all gateways and of the requests that are refused here.
/// @remarks The others' usage decays by the times of their reports, not by the clock: while no report arrives, the
/// others are assumed to continue as before. If it decayed by the clock, a gateway that resumes from a stall would
/// treat the team as idle.
class UsageRate
{
public:
	/// Time constant, in seconds, of the requests from which the ratio of demand to admitted usage is estimated.
	static constexpr double kOwnDecaySeconds = 4.0;

	/// Weight of the newest request in the mean request size.
	static constexpr double kNewestWeight = 0.1;

	/// Starts with an assumed usage of the others, in amount per second.
	void begin(double _others, Micros _now)
	{
		m_others = _others;
		m_othersDecayedAt = _now;
		m_ownDecayedAt = _now;
	}

	/// Records usage of the others that is reported now.
	/// @param[in] _since Time up to which their usage was known before.
	void onOthersUsage(double _amount, Micros _since, Micros _now)
	{
		// An amount that is spread over s seconds has decayed to (1 - exp(-s)) / s of itself at the end of them.
		const double span = secondsOf(_now - _since);
		const double remaining = span > 0.0 ? (1.0 - std::exp(-span)) / span : 1.0;
		m_others = others(_now) + _amount * remaining;
		m_othersDecayedAt = _now;
	}

	/// Records a request that was decided on here.
	void onDecided(double _amount, bool _admitted, Micros _now)
	{
		decayOwn(_now);
		onRequestSize(_amount);
		m_ownRequested += _amount;
		m_ownAdmitted += _admitted ? _amount : 0.0;
		m_lastRefused = _admitted ? m_lastRefused : _now;
	}

	/// Records usage that this gateway counts as its own, for a local request or for a grant to another gateway.
	void onCharged(double _amount, Micros _now)
	{
		decayOwn(_now);
		m_own += _amount;
	}

	/// Records the size of a request.
	void onRequestSize(double _amount)
	{
		m_meanAmount += (m_meanAmount > 0.0 ? kNewestWeight : 1.0) * (_amount - m_meanAmount);
	}

	/// @param[in] _lastHeard Time of the last report from another gateway.
	/// @returns the usage of the others per second.
	double others(Micros _lastHeard) const
	{
		return m_others * std::exp(-secondsOf(std::max<Micros>(0, _lastHeard - m_othersDecayedAt)));
	}

	/// @returns the usage of this gateway per second.
	double own(Micros _now) const
	{
		return m_own * std::exp(-secondsOf(_now - m_ownDecayedAt));
	}

	/// @returns the mean size of a request.
	double meanAmount() const
	{
		return m_meanAmount;
	}

	/// @param[in] _prior Amount that is assumed to have been both requested and admitted before.
	/// @returns the ratio of requested to admitted usage at this gateway; 1 if no request was refused recently.
	/// @remarks The request that is being decided on does not count. If it did, a gateway that receives one request
	/// a second from a team would refuse a hundredth of them, although the team uses 0.6 of its limit
	/// (quotastalltest).
	double demandRatio(double _prior, Micros _now) const
	{
		const double taken = m_ownAdmitted + _prior;
		// Without new requests, both amounts decay alike and their ratio never falls.
		const bool recently = m_lastRefused != kLongAgo && secondsOf(_now - m_lastRefused) < kOwnDecaySeconds;
		return recently && taken > 0.0 ? std::max(1.0, (m_ownRequested + _prior) / taken) : 1.0;
	}

private:
	void decayOwn(Micros _now)
	{
		const double elapsed = secondsOf(_now - m_ownDecayedAt);
		m_own *= std::exp(-elapsed);
		m_ownRequested *= std::exp(-elapsed / kOwnDecaySeconds);
		m_ownAdmitted *= std::exp(-elapsed / kOwnDecaySeconds);
		m_ownDecayedAt = _now;
	}

	double m_others = 0.0; ///< Usage of the others per second.
	Micros m_othersDecayedAt = 0;
	double m_own = 0.0; ///< Usage of this gateway per second.
	double m_meanAmount = 0.0;
	double m_ownRequested = 0.0; ///< Requested amount, decaying with kOwnDecaySeconds.
	double m_ownAdmitted = 0.0;
	Micros m_ownDecayedAt = 0;
	Micros m_lastRefused = kLongAgo; ///< Time of the last refusal.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGERATE_H
