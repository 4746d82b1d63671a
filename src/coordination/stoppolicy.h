// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides what a gateway still does after it was asked to stop.

#ifndef BEACONGATE_COORDINATION_STOPPOLICY_H
#define BEACONGATE_COORDINATION_STOPPOLICY_H

#include "beacongate/types.h"

#include <algorithm>

namespace beacongate
{
/// Decides by the time since the request to stop; the process is killed at the end of the grace period.
class StopPolicy
{
public:
	/// New requests are accepted for this long: the load balancer probes once a second and removes a gateway
	/// after two failed probes.
	static constexpr Micros kAcceptSpan = 2800 * kMillisecond;
	/// Time before the kill at which running requests are aborted.
	static constexpr Micros kKillMargin = 250 * kMillisecond;

	explicit StopPolicy(Micros _grace) : m_grace(_grace)
	{
	}

	/// @returns true if a request that arrives now is accepted; later ones are refused, since they might not
	/// end in time.
	bool acceptsRequests(Micros _elapsed) const
	{
		return _elapsed < std::min(kAcceptSpan, m_grace * 3 / 8);
	}

	/// @returns true if idle connections are closed and new ones are refused.
	bool closesIdle(Micros _elapsed) const
	{
		return _elapsed >= m_grace / 2;
	}

	/// @returns true if running requests have to be aborted.
	bool mustAbort(Micros _elapsed) const
	{
		return _elapsed >= m_grace - std::min(kKillMargin, m_grace / 8);
	}

private:
	Micros m_grace;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STOPPOLICY_H
