// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Whether a request for which no backend server has room waits or is refused, and when its caller may come again.

#ifndef BEACONGATE_COORDINATION_ROOMPOLICY_H
#define BEACONGATE_COORDINATION_ROOMPOLICY_H

#include "coordination/backofftable.h"

#include <algorithm>

namespace beacongate
{
/// What a request without room is weighed by. Times are of the steady clock.
struct OverloadContext
{
	Micros now = 0;          ///< When it is decided.
	Micros answerTarget = 0; ///< Until then an answer is in time.
	Micros waitUntil = 0;    ///< Until then the caller waits, or the route allows it to.
	bool sent = false;       ///< It was sent to a backend server before.
	bool mayHaveRun = false; ///< It may have run there.
};

/// What becomes of it.
enum class OverloadDecision
{
	Wait,
	RefuseLate,    ///< It cannot be answered in time any more, and makes room for what can.
	RefuseBackoff, ///< All backend servers asked for nothing until it would be late.
};

/// Decides for a request that no backend server can take now. One that can only be served too late is refused at
/// once, while its caller has time to come again; one that may have run waits as long as it may, since a refusal
/// could not promise anything.
inline OverloadDecision decideOnOverload(const OverloadContext& _context, const Availability& _available)
{
	if (_context.now > _context.answerTarget && !_context.sent)
	{
		return OverloadDecision::RefuseLate;
	}
	const Micros patience =
		_context.mayHaveRun ? _context.waitUntil : std::min(_context.answerTarget, _context.waitUntil);
	return _available.waitsForBackoff() && _available.earliestEnd > patience ? OverloadDecision::RefuseBackoff
																			 : OverloadDecision::Wait;
}

/// @returns when a refused caller may come again: once a backoff has ended where nothing is sent before, else soon.
/// @param[in] _all Of all backend servers, whatever the request was sent to.
/// @param[in] _spread From 0 to 1, drawn by chance: what was refused in a backoff comes back over a quarter of it
/// and not at once.
/// @param[in] _soon Where there may be room at any moment.
inline Micros retryAfterRefusal(const Availability& _all, double _spread, Micros _soon, Micros _now)
{
	constexpr double kSpreadShare = 0.25;
	if (!_all.waitsForBackoff())
	{
		return _soon;
	}
	const Micros left = _all.earliestEnd - _now;
	return std::max(_soon, left + static_cast<Micros>(static_cast<double>(left) * kSpreadShare * _spread));
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ROOMPOLICY_H
