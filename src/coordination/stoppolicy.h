// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a gateway still does after it was asked to stop.

#ifndef BEACONGATE_COORDINATION_STOPPOLICY_H
#define BEACONGATE_COORDINATION_STOPPOLICY_H

#include "beacongate/types.h"

#include <algorithm>

namespace beacongate
{
/// Spans count from the request to stop; the process is killed at the end of the grace.
class StopPolicy
{
public:
	/// New requests are run until then: the balancer asks once a second and takes a gateway out after two misses.
	static constexpr Micros kAcceptSpan = 2800 * kMillisecond;
	/// Left before the process would be killed.
	static constexpr Micros kKillMargin = 250 * kMillisecond;

	explicit StopPolicy(Micros _grace) : m_grace(_grace)
	{
	}

	/// @returns whether a request that arrives now is run; later ones are refused, since they might not end in
	/// time.
	bool acceptsRequests(Micros _elapsed) const
	{
		return _elapsed < std::min(kAcceptSpan, m_grace * 3 / 8);
	}

	/// @returns whether connections without a request are closed and new ones are turned away.
	bool closesIdle(Micros _elapsed) const
	{
		return _elapsed >= m_grace / 2;
	}

	/// @returns whether what still runs has to be cut off.
	bool mustAbort(Micros _elapsed) const
	{
		return _elapsed >= m_grace - std::min(kKillMargin, m_grace / 8);
	}

private:
	Micros m_grace;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STOPPOLICY_H
