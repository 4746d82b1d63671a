// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// How fast a team's quota is taken from, as far as one gateway knows.

#ifndef BEACONGATE_COORDINATION_USAGERATE_H
#define BEACONGATE_COORDINATION_USAGERATE_H

#include "beacongate/types.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
/// What all take, and how many of the requests here are refused; averages in which older takings fade.
/// @remarks What the others take fades with their words, not with the clock: while nothing is heard, they go on as
/// before. Faded by the clock, a gateway that stood still took the team for a quiet one as it woke.
class UsageRate
{
public:
	/// Seconds for which a gateway's own requests say how many are refused.
	static constexpr double kOwnMemory = 4.0;

	/// Weight of the newest request in the mean size of requests.
	static constexpr double kNewest = 0.1;

	/// Begins with an amount a second that the others are taken to have.
	void begin(double _others, Micros _now)
	{
		m_others = _others;
		m_othersFaded = _now;
		m_ownFaded = _now;
	}

	/// The others took an amount of which there is word now.
	/// @param[in] _since Up to when what they took was known before.
	void onOthers(double _amount, Micros _since, Micros _now)
	{
		// Spread over a span of s seconds, an amount has faded to this part of it at the end of the span.
		const double span = secondsOf(_now - _since);
		const double left = span > 0.0 ? (1.0 - std::exp(-span)) / span : 1.0;
		m_others = others(_now) + _amount * left;
		m_othersFaded = _now;
	}

	/// A request came here and was decided on.
	void onDecided(double _amount, bool _passed, Micros _now)
	{
		fadeOwn(_now);
		onSize(_amount);
		m_ownAsked += _amount;
		m_ownTaken += _passed ? _amount : 0.0;
		m_refused = _passed ? m_refused : _now;
	}

	/// An amount is counted as taken by this gateway, for a caller here or for another gateway.
	void onCharged(double _amount, Micros _now)
	{
		fadeOwn(_now);
		m_own += _amount;
	}

	/// A request is so large.
	void onSize(double _amount)
	{
		m_meanAmount += (m_meanAmount > 0.0 ? kNewest : 1.0) * (_amount - m_meanAmount);
	}

	/// @param[in] _lastWord When anything was heard of the others.
	/// @returns what the others take a second.
	double others(Micros _lastWord) const
	{
		return m_others * std::exp(-secondsOf(std::max<Micros>(0, _lastWord - m_othersFaded)));
	}

	/// @returns what this gateway takes a second.
	double own(Micros _now) const
	{
		return m_own * std::exp(-secondsOf(_now - m_ownFaded));
	}

	/// @returns what a request asks for.
	double meanAmount() const
	{
		return m_meanAmount;
	}

	/// @param[in] _prior An amount that is taken to have been asked for and got before.
	/// @returns how many times more was asked for here than was let through.
	/// @remarks The request that is decided on now does not count: with it, a gateway that a team asks once a
	/// second refused it a hundredth of its requests, though it asked for 0.6 of its limit (quotastalltest).
	double refusedTimes(double _prior, Micros _now) const
	{
		const double taken = m_ownTaken + _prior;
		// Without new requests, what was asked for and what passed fade alike.
		const bool lately = m_refused != kLongAgo && secondsOf(_now - m_refused) < kOwnMemory;
		return lately && taken > 0.0 ? std::max(1.0, (m_ownAsked + _prior) / taken) : 1.0;
	}

private:
	void fadeOwn(Micros _now)
	{
		const double passed = secondsOf(_now - m_ownFaded);
		m_own *= std::exp(-passed);
		m_ownAsked *= std::exp(-passed / kOwnMemory);
		m_ownTaken *= std::exp(-passed / kOwnMemory);
		m_ownFaded = _now;
	}

	double m_others = 0.0; ///< A second's worth.
	Micros m_othersFaded = 0;
	double m_own = 0.0; ///< Likewise.
	double m_meanAmount = 0.0;
	double m_ownAsked = 0.0; ///< Over kOwnMemory.
	double m_ownTaken = 0.0;
	Micros m_ownFaded = 0;
	Micros m_refused = kLongAgo; ///< When a request was refused last.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_USAGERATE_H
