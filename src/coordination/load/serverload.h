// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The load that a backend server states in its answers.

#ifndef BEACONGATE_COORDINATION_LOAD_SERVERLOAD_H
#define BEACONGATE_COORDINATION_LOAD_SERVERLOAD_H

#include <algorithm>
#include <optional>

namespace beacongate
{
/// Load of one backend server at the moment of an answer.
struct ServerLoad
{
	unsigned running = 0; ///< Requests that it runs, with the one that it answers.
	unsigned waiting = 0; ///< Requests in its queue.
	unsigned slots = 0;   ///< Requests that it can run at once.
	/// Time that work takes there now, relative to the usual time; nothing if it does not say.
	std::optional<double> slowdown;

	/// @returns true if a request hardly waited for others there, so that its time to the first event tells the
	/// speed of the server: nothing is queued, and a quarter of the slots at the most, and not more than four, is
	/// taken. The speed that is learnt hardly depends on these bounds, and with them a gateway has enough samples
	/// within seconds.
	bool isNearlyIdle() const
	{
		constexpr unsigned kIdlePart = 4;
		constexpr unsigned kMostRunning = 4;
		return waiting == 0 && running <= std::clamp(slots / kIdlePart, 1U, kMostRunning);
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_LOAD_SERVERLOAD_H
