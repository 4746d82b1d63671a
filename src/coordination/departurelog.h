// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers which backend servers were recently found to be leaving, for messages to other gateways.

#ifndef BEACONGATE_COORDINATION_DEPARTURELOG_H
#define BEACONGATE_COORDINATION_DEPARTURELOG_H

#include "beacongate/routing.h"
#include "beacongate/types.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace beacongate
{
/// The departures that were found within a while, in the order in which they were found.
/// @remarks A change of capacity can drain thousands of servers within a second. Their records reach every gateway
/// with the list of backend servers. If each datagram named all of them as well, it would exceed the largest
/// datagram, and reports, sums and echoes would be lost until the departures are old. So a message names a bounded
/// number, those first that no list may show yet.
class DepartureLog
{
public:
	/// Time for which a departure is remembered.
	static constexpr Micros kRetention = 10 * kSecond;
	/// Departures in one message: 32 identities take about 1 kB.
	static constexpr std::size_t kMaxPerMessage = 32;

	/// Adds a departure.
	/// @param[in] _listed True if the store's list shows it, so that all gateways learn of it from there.
	void add(const BackendIdentity& _backend, bool _listed, Micros _now);

	/// Forgets an incarnation that a later one has replaced.
	void forget(const BackendIdentity& _backend);

	/// @returns all departures that were found at or after a moment.
	std::vector<BackendIdentity> since(Micros _moment) const;

	/// Selects the departures for a message.
	/// @param[in] _turn Number of messages sent before. If there are too many departures for a message, each
	/// message names the next ones.
	/// @returns at most kMaxPerMessage departures that were found at or after a moment.
	std::vector<BackendIdentity> select(Micros _moment, std::size_t _turn) const;

private:
	struct Departure
	{
		Micros at = 0;
		BackendIdentity backend;
	};

	using Departures = std::deque<Departure>;

	static void forgetOld(Departures& _departures, Micros _now);
	/// Appends departures to a selection until it is full.
	static void append(std::vector<BackendIdentity>& _selected, const Departures& _departures, Micros _moment,
					   std::size_t _turn);

	Departures m_unlisted; ///< Found by other means than the list.
	Departures m_listed;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DEPARTURELOG_H
