// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tracks backend servers that asked this gateway to send them nothing for a while or that refuse its connections,
/// and finds those that may be used meanwhile.

#ifndef BEACONGATE_COORDINATION_BACKOFFTABLE_H
#define BEACONGATE_COORDINATION_BACKOFFTABLE_H

#include "coordination/directory.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Backend servers that may get a request now, as far as backoffs are concerned.
struct Availability
{
	std::vector<const KnownBackend*> open; ///< Backend servers that may get a request.
	/// A backend server whose backoff has ended has as many requests in flight as allowed; an answer allows
	/// more.
	bool limited = false;
	Micros earliestEnd = kNever; ///< Earliest end of a running backoff; kNever if none runs.

	/// @returns true if nothing can be sent before a backoff ends.
	bool waitsForBackoff() const
	{
		return open.empty() && !limited && earliestEnd != kNever;
	}
};

/// Backoffs that backend servers asked for, by incarnation: a restarted backend server has none. A backoff is
/// an explicit request, unlike the health that Balancer estimates, so no fallback overrides it; it narrows what
/// Balancer may choose from.
///
/// All times are of this gateway's steady clock. A backoff runs from when its answer was read, which is never
/// before the backend server sent it. It is not forwarded to peers: each gateway is asked separately.
class BackoffTable
{
public:
	/// Longest backoff that one answer can cause, so that an erroneous answer does not exclude a backend server
	/// for good. A backend server that needs more asks again when it is tried afterwards.
	static constexpr Micros kMaxBackoff = 600 * kSecond;
	/// Backoff of a backend server that refused a connection. Its process has ended; it is tried again at this
	/// interval, since it may come back under the same record.
	static constexpr Micros kRefusedBackoff = 500 * kMillisecond;
	/// Requests that a backend server may have in flight right after its backoff. It was overloaded before, and
	/// all requests that wait for it at once would overload it again. Each answer other than a rejection
	/// doubles the limit.
	static constexpr unsigned kInitialInFlight = 1;
	/// Largest limit on the requests in flight after a backoff; when the limit would exceed it, the limit is
	/// removed.
	static constexpr unsigned kMaxLimitedInFlight = 8;
	/// Time after the end of a backoff at which the limit is removed in any case.
	static constexpr Micros kRampUpSpan = 2 * kSecond;

	/// Notes that a backend server asked for no more requests for a span from now on. A shorter span than the
	/// rest of the running backoff changes nothing, since the longer one was requested as well.
	void onBackoffRequested(BackendKey _key, Micros _span, Micros _now);

	/// @returns the rest of a backend server's backoff, 0 if none runs.
	Micros left(BackendKey _key, Micros _now) const;

	/// Notes that a request was assigned to a backend server.
	/// @returns true if its requests are limited after a backoff: onEnded() has to be called for this one,
	/// once.
	bool onPlaced(BackendKey _key, Micros _now);

	/// Notes that a limited request was answered, or ended without an answer.
	/// @param[in] _accepted True if the backend server answered, and not with a rejection.
	void onEnded(BackendKey _key, bool _accepted);

	/// Finds the backend servers that may be used.
	/// @param[in] _candidates Backend servers that take new work.
	/// @param[in] _excluded Ids of backend servers that the request was sent to before.
	Availability available(std::vector<const KnownBackend*> _candidates, const std::vector<std::string>& _excluded,
						   Micros _now) const;

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	struct Entry
	{
		Micros end = 0;
		unsigned inFlight = 0; ///< Limited requests without an end yet.
		unsigned inFlightLimit = kInitialInFlight;
	};

	/// @returns true if a backend server has as many requests in flight as allowed after its backoff.
	static bool isLimited(const Entry& _entry, Micros _now);

	std::unordered_map<BackendKey, Entry, BackendKeyHash> m_entries;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKOFFTABLE_H
