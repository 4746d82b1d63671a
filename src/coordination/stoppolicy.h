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
		return _elapsed < acceptSpan();
	}

	/// @returns the time until which a request may be sent to a backend server. A later one would probably be
	/// aborted; until then its caller has time to go to another gateway. While requests are accepted, they are also
	/// sent.
	/// @param[in] _expected Time from the sending of the request to the end of its answer.
	Micros latestStart(Micros _expected) const
	{
		return std::max(acceptSpan(), abortTime() - _expected);
	}

	/// @returns true if idle connections are closed and new ones are refused.
	bool closesIdle(Micros _elapsed) const
	{
		return _elapsed >= m_grace / 2;
	}

	/// @returns true if running requests have to be aborted.
	bool mustAbort(Micros _elapsed) const
	{
		return _elapsed >= abortTime();
	}

private:
	Micros acceptSpan() const
	{
		return std::min(kAcceptSpan, m_grace * 3 / 8);
	}

	Micros abortTime() const
	{
		return m_grace - std::min(kKillMargin, m_grace / 8);
	}

	Micros m_grace;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STOPPOLICY_H
