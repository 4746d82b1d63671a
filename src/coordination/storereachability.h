// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Distinguishes a store that answers slowly from one that is unreachable.

#ifndef BEACONGATE_COORDINATION_STOREREACHABILITY_H
#define BEACONGATE_COORDINATION_STOREREACHABILITY_H

#include "beacongate/types.h"

#include <algorithm>
#include <set>

namespace beacongate
{
/// Combines the results of all reads of the store. A gateway that cannot reach the store continues with the
/// content that it has, however old; one that can reach it must not. A single read without an answer in time
/// therefore proves nothing. The store counts as unreachable if it rejected reads repeatedly, or if no read
/// received anything for as long as an answer would still be useful. With a single silent read of 0.4 s treated
/// as an outage, 46 to 123 of 7,500 requests reached servers that had left (eight gateway processes, answers
/// after 0.4 to 1.1 s, servers that leave every 0.7 s).
class StoreReachability
{
public:
	/// Least span between the first and the last rejected read: a closed connection may be one that the store
	/// closed as idle, which the next read shows.
	static constexpr Micros kRejectionSpan = 150 * kMillisecond;

	/// @param[in] _timeout Silence after which the store counts as unreachable.
	explicit StoreReachability(Micros _timeout) : m_timeout(_timeout)
	{
	}

	/// Notes that a read was sent.
	void onReadSent(Micros _now);

	/// Notes that bytes of an answer arrived.
	void onBytesReceived(Micros _now);

	/// Notes that a read was answered.
	/// @param[in] _asked When it was sent.
	void onAnswered(Micros _asked, Micros _now);

	/// Notes that a read was rejected: its connection was refused or closed, or the answer reported an error.
	void onReadRejected(Micros _asked, Micros _now);

	/// Notes that a read was abandoned without an answer. This proves nothing: after a stall of this process,
	/// the timeout fires before an answer is read that has arrived already. When it counted as an outage, 14
	/// requests reached a server that had left, in one of 25 soaks with a slow store.
	void onReadAbandoned(Micros _asked, Micros _now);

	/// Notes that this process was stalled: the span is not silence of the store.
	void onProcessStalled(Micros _span, Micros _now);

	/// Resets the findings about the store, since the content was obtained from another source.
	void resetFindings();

	/// Checks how long the reads have waited. Must be called right after onProcessStalled().
	/// @returns true if the store is unreachable, from now on until something is received.
	bool isUnreachable(Micros _now)
	{
		m_timedOut = m_timedOut || silence(_now) >= m_timeout;
		return rejectsReads() || m_timedOut;
	}

	/// @returns true if it is unreachable because it rejects reads.
	bool rejectsReads() const
	{
		return m_lastRejection - m_firstRejection >= kRejectionSpan;
	}

	/// @returns the time for which the waiting reads have received nothing.
	Micros silence(Micros _now) const
	{
		return m_waiting.empty() ? 0 : _now - silentSince();
	}

	/// @returns the time since the last read ended; 0 while a read waits.
	Micros idle(Micros _now) const
	{
		return m_waiting.empty() ? _now - m_lastEnded : 0;
	}

	/// @returns how long a read may receive nothing until it is started again: the usual span, or twice the
	/// latency of the last answer, so that a slow store is not read repeatedly in vain.
	/// @param[in] _usual Span for a store that answers at once.
	Micros readTimeout(Micros _usual) const
	{
		return std::clamp(2 * m_latency, _usual, std::max(_usual, m_timeout));
	}

private:
	Micros silentSince() const
	{
		return std::max(m_lastReceived, *m_waiting.begin());
	}

	void onEnded(Micros _asked, Micros _now);

	Micros m_timeout;
	std::multiset<Micros> m_waiting;    ///< When the waiting reads were sent; a few at most.
	Micros m_lastReceived = kLongAgo;   ///< When bytes last arrived, shifted by the stalls of this process.
	bool m_timedOut = false;            ///< A read waited for the whole timeout.
	Micros m_firstRejection = kLongAgo; ///< First rejection since bytes last arrived.
	Micros m_lastRejection = kLongAgo;
	Micros m_lastEnded = kLongAgo;
	Micros m_latency = 0; ///< Latency of the last answer.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STOREREACHABILITY_H
