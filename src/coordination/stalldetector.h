// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Finds out that this process stood still.

#ifndef BEACONGATE_COORDINATION_STALLDETECTOR_H
#define BEACONGATE_COORDINATION_STALLDETECTOR_H

#include "beacongate/types.h"

namespace beacongate
{
/// A VM that gets no processor time runs nothing, hears nothing and notices nothing: the first sign of it is that
/// something which is done several times a second was not done for a while. What others said or did meanwhile is
/// not known then, and their silence says nothing of them.
class StallDetector
{
public:
	/// Time passes; to be called more often than once in _longest while the process runs.
	/// @param[in] _longest The longest span without a call while the process runs.
	/// @returns whether it stood still until now.
	bool onTick(Micros _now, Micros _longest)
	{
		const bool stalled = m_last != kLongAgo && _now - m_last > _longest;
		m_last = _now;
		m_woke = stalled ? _now : m_woke;
		return stalled;
	}

	/// @returns when the process went on after it last stood still; kLongAgo where it never did.
	Micros resumedAt() const
	{
		return m_woke;
	}

private:
	Micros m_last = kLongAgo;
	Micros m_woke = kLongAgo;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STALLDETECTOR_H
