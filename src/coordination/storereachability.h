// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tells a store that answers slowly from one that is out of reach.

#ifndef BEACONGATE_COORDINATION_STORECONTACT_H
#define BEACONGATE_COORDINATION_STORECONTACT_H

#include "beacongate/types.h"

#include <algorithm>
#include <set>

namespace beacongate
{
/// What the reads of the store show together. A gateway that cannot reach the store serves on by what it knows,
/// however old; one that can must not. So one read that brought nothing in time proves nothing: out of reach is a
/// store that has turned calls away again and again, or that has said nothing to any read for as long as an answer
/// could be of use. With a single silent read of 0.4 s taken for an outage, 46 to 123 of 7,500 requests reached
/// servers that had left (eight gateways as processes, answers after 0.4 to 1.1 s, servers that leave every 0.7 s).
class StoreReachability
{
public:
	/// Between the first and the last of the calls that were turned away: a connection that ended may be one that
	/// the store closed for idleness, and the next call finds out.
	static constexpr Micros kRejectionSpan = 150 * kMillisecond;

	/// @param[in] _patience Silence after which the store is out of reach.
	explicit StoreReachability(Micros _patience) : m_patience(_patience)
	{
	}

	/// A read was sent.
	void onReadSent(Micros _now);

	/// Bytes of an answer came.
	void onBytesReceived(Micros _now);

	/// A read ended with its answer.
	/// @param[in] _asked When it was sent.
	void onAnswered(Micros _asked, Micros _now);

	/// A read was turned away: its connection was refused or ended, or the answer said so.
	void onReadRejected(Micros _asked, Micros _now);

	/// A read was given up without an answer. That proves nothing: where this process was held up, its time-out
	/// fires before the answer is read that has long come. Taken for proof, it made 14 requests reach a server that
	/// had left, in one of 25 soaks with a slow store.
	void onReadAbandoned(Micros _asked, Micros _now);

	/// This process did not run for a while: that was no silence of the store.
	void onProcessStalled(Micros _span, Micros _now);

	/// What was to be read came by another way: what was found of the store counts no more.
	void resetFindings();

	/// Looks at how long the reads have waited; to be asked right after onProcessStalled().
	/// @returns whether the store is out of reach, from now on until something is heard.
	bool isUnreachable(Micros _now)
	{
		m_provenSilent = m_provenSilent || silence(_now) >= m_patience;
		return rejectsReads() || m_provenSilent;
	}

	/// @returns whether it is out of reach because it turns calls away.
	bool rejectsReads() const
	{
		return m_lastTurnedAway - m_firstTurnedAway >= kRejectionSpan;
	}

	/// @returns for how long the oldest read that waits has heard nothing.
	Micros silence(Micros _now) const
	{
		return m_waiting.empty() ? 0 : _now - silentSince();
	}

	/// @returns for how long nothing has been asked; 0 while a read waits.
	Micros idle(Micros _now) const
	{
		return m_waiting.empty() ? _now - m_lastEnded : 0;
	}

	/// @returns how long a read may say nothing until it is begun anew: the usual span, or twice what the last
	/// answer took, so that a slow store is not asked again and again in vain.
	/// @param[in] _usual For a store that answers at once.
	Micros readTimeout(Micros _usual) const
	{
		return std::clamp(2 * m_latency, _usual, std::max(_usual, m_patience));
	}

private:
	Micros silentSince() const
	{
		return std::max(m_lastHeard, *m_waiting.begin());
	}

	void onEnded(Micros _asked, Micros _now);

	Micros m_patience;
	std::multiset<Micros> m_waiting;     ///< When the reads that wait were sent; a few at most.
	Micros m_lastHeard = kLongAgo;       ///< When bytes came last, later by the spans in which nobody listened.
	bool m_provenSilent = false;         ///< A read was seen to wait for the whole patience.
	Micros m_firstTurnedAway = kLongAgo; ///< Since bytes came last.
	Micros m_lastTurnedAway = kLongAgo;
	Micros m_lastEnded = kLongAgo;
	Micros m_latency = 0; ///< Of the last answer.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STORECONTACT_H
