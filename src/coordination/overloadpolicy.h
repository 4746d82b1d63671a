// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides whether a request that no backend server can take now waits or is refused, and when its caller may
/// retry.

#ifndef BEACONGATE_COORDINATION_OVERLOADPOLICY_H
#define BEACONGATE_COORDINATION_OVERLOADPOLICY_H

#include "coordination/backofftable.h"

#include <algorithm>

namespace beacongate
{
/// State of a request that no backend server can take now. Times are of the steady clock.
struct OverloadContext
{
	Micros now = 0;          ///< Time of the decision.
	Micros answerTarget = 0; ///< An answer until then is in time.
	Micros waitUntil = 0;    ///< The caller, the route, or the stop of the gateway allows it to wait until then.
	bool sent = false;       ///< It was sent to a backend server before.
	bool mayHaveRun = false; ///< It may have run there.
	/// All backend servers have limits, and the requests queued before it need all that these allow in time.
	bool behindLimit = false;
};

/// Decision on the request.
enum class OverloadDecision
{
	Wait,
	RefuseLate,    ///< It cannot be answered in time any more, and is dropped in favour of requests that can.
	RefuseBackoff, ///< All backend servers are in backoffs, or at their limits, too long for an answer in time.
};

/// Decides what happens to a request that no backend server can take now. A request that can only be answered
/// too late is refused at once, while its caller has time to retry. A request that may have run waits as long
/// as allowed, since a refusal could not promise that it did not run.
inline OverloadDecision decideOnOverload(const OverloadContext& _context, const Availability& _available)
{
	if (_context.now > _context.answerTarget && !_context.sent)
	{
		return OverloadDecision::RefuseLate;
	}
	const Micros latest =
		_context.mayHaveRun ? _context.waitUntil : std::min(_context.answerTarget, _context.waitUntil);
	const bool tooLate = _available.earliestEnd > latest || _context.behindLimit;
	return _available.waitsForBackoff() && tooLate ? OverloadDecision::RefuseBackoff : OverloadDecision::Wait;
}

/// @returns how long a refused caller has to wait before a retry: until a backoff has ended if nothing can be
/// sent before, else `_soon`.
/// @param[in] _all Availability of all backend servers, whichever the request was sent to.
/// @param[in] _spread Random number from 0 to 1: requests refused in a backoff are retried over a quarter of
/// its length, and not all at once.
/// @param[in] _soon Delay if a backend server may have capacity at any moment.
inline Micros retryAfterRefusal(const Availability& _all, double _spread, Micros _soon, Micros _now)
{
	constexpr double kSpreadShare = 0.25;
	if (!_all.waitsForBackoff())
	{
		return _soon;
	}
	const Micros remaining = _all.earliestEnd - _now;
	return std::max(_soon,
					remaining + static_cast<Micros>(static_cast<double>(remaining) * kSpreadShare * _spread));
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_OVERLOADPOLICY_H
