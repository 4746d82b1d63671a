// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Backend servers that asked this gateway to send them nothing for a while, and which others may be used
/// meanwhile.

#ifndef BEACONGATE_COORDINATION_BACKOFFTABLE_H
#define BEACONGATE_COORDINATION_BACKOFFTABLE_H

#include "coordination/directory.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Which backend servers a request may be given now, as far as backoffs go.
struct Availability
{
	std::vector<const KnownBackend*> open; ///< May take a request.
	/// One whose backoff has ended has as many requests as it may have for now; an answer lets the next ones in.
	bool limited = false;
	Micros earliestEnd = kNever; ///< When the first of the backoffs ends; kNever where none runs.

	/// @returns whether nothing can be sent before a backoff ends.
	bool waitsForBackoff() const
	{
		return open.empty() && !limited && earliestEnd != kNever;
	}
};

/// What backend servers asked for, by incarnation: one that starts again is free. It is no guess about their health
/// as Balancer makes it, so that no fallback goes by it: it narrows what Balancer may choose from.
///
/// All times are of the steady clock of this gateway. A backoff runs from when its answer was read, which is never
/// before the backend server sent it. Peers are not told: each of them is asked by itself.
class BackoffTable
{
public:
	/// One answer takes a backend server out for this long at most, so that a mistaken one does not lose it for
	/// good. One that wants nothing for longer says so again when it is tried then.
	static constexpr Micros kMaxBackoff = 600 * kSecond;
	/// Requests without an answer that a backend server may have right after its backoff. It was too full before:
	/// all that wait for it at once would fill it again. Each answer that is no rejection doubles the number.
	static constexpr unsigned kInitialInFlight = 1;
	/// From this number on, or this long after the backoff, it takes requests as any other.
	static constexpr unsigned kMaxLimitedInFlight = 8;
	static constexpr Micros kRampUpSpan = 2 * kSecond;

	/// A backend server asked for nothing more for a span from now on. A shorter one than what is left changes
	/// nothing: the longer one was asked for, too.
	void onBackoffRequested(BackendKey _key, Micros _span, Micros _now);

	/// @returns how much of what a backend server asked for is left, 0 for none.
	Micros left(BackendKey _key, Micros _now) const;

	/// A request was given to a backend server.
	/// @returns whether it is one of the few after a backoff: onEnded() has to be called for it, once.
	bool onPlaced(BackendKey _key, Micros _now);

	/// One of the few after a backoff got an answer, or ended without one.
	/// @param[in] _taken Whether the backend server took it: it answered, and not by a rejection.
	void onEnded(BackendKey _key, bool _taken);

	/// Sorts out which backend servers may be used.
	/// @param[in] _candidates Those that take new work.
	/// @param[in] _excluded Ids that the request was sent to before.
	Availability available(std::vector<const KnownBackend*> _candidates, const std::vector<std::string>& _excluded,
						   Micros _now) const;

	/// Forgets backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	struct Entry
	{
		Micros end = 0;
		unsigned underWay = 0; ///< Of the few after the backoff.
		unsigned most = kInitialInFlight;
	};

	/// @returns whether a backend server has as many requests as it may have for now.
	static bool isLimited(const Entry& _entry, Micros _now);

	std::unordered_map<BackendKey, Entry, BackendKeyHash> m_entries;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKOFFTABLE_H
