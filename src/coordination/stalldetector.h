// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Detects stalls of this process.

#ifndef BEACONGATE_COORDINATION_STALLDETECTOR_H
#define BEACONGATE_COORDINATION_STALLDETECTOR_H

#include "beacongate/types.h"

namespace beacongate
{
/// Detects spans in which this process got no CPU time, for instance because its VM was not scheduled. The only
/// sign is that a call which is made several times a second was not made for a while. What other processes sent
/// meanwhile is not known then, and their silence proves nothing.
class StallDetector
{
public:
	/// Notes the present time. Must be called more often than once in _longest while the process runs.
	/// @param[in] _longest Longest span between two calls while the process runs.
	/// @returns true if the process was stalled until now.
	bool onTick(Micros _now, Micros _longest)
	{
		const bool stalled = m_last != kLongAgo && _now - m_last > _longest;
		m_last = _now;
		m_resumedAt = stalled ? _now : m_resumedAt;
		return stalled;
	}

	/// @returns when the process resumed after its last stall; kLongAgo if it never stalled.
	Micros resumedAt() const
	{
		return m_resumedAt;
	}

private:
	Micros m_last = kLongAgo;
	Micros m_resumedAt = kLongAgo;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STALLDETECTOR_H
