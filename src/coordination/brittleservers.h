// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Keeps the requests that brittle backend servers have no room for within the number that they bear.

#ifndef BEACONGATE_COORDINATION_BRITTLESERVERS_H
#define BEACONGATE_COORDINATION_BRITTLESERVERS_H

#include "coordination/backofftable.h"
#include "coordination/balancer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace beacongate
{
/// Backend servers that named the number of requests that they may reject in a second, by incarnation.
///
/// Gateways place requests by load reports of each other that are a round old. If several see the same free slot,
/// all but one of their requests are rejected, and a brittle server that rejects too many falls over. So gateways
/// claim slots of such a server before they use them:
/// - A claim holds while a request of the gateway is in the slot, and for a while after it. Load reports name the
///   claims, so that a slot which is about to be used again does not look free.
/// - Time is divided into rounds. In the first half of a round each gateway may claim its part of the free slots,
/// which
///   follows from its index in the list of members and the server's key; by the next round all gateways know of it.
/// - A rejection ends the claim and lowers the number of slots that this gateway takes for usable, since a server
/// may
///   have room for fewer requests than slots. The number rises again so slowly that all gateways together cause
///   fewer rejections in a second than the server bears.
class BrittleServers
{
public:
	/// Share of the rejections that a server bears which the rise of its usable slots may cause.
	static constexpr double kRiseShare = 0.5;
	/// Time from the end of a request until its claim ends.
	static constexpr Micros kHoldSpan = 1 * kSecond;
	/// The same where hardly any slots are free. The next request of a queue is dispatched within a tenth of it.
	static constexpr Micros kShortHoldSpan = 100 * kMillisecond;
	/// Share of free slots below which claims end after the shorter time.
	static constexpr double kScarceShare = 0.25;

	/// Sets this gateway's place among all.
	/// @param[in] _count Number of gateways, at least 1.
	/// @param[in] _index Index of this gateway, below the number.
	/// @param[in] _reportDelay Time after which a gateway's load has reached all others.
	void setMembers(std::size_t _count, std::size_t _index, Micros _reportDelay);

	/// Notes what an answer says.
	/// @param[in] _rejections Requests that the server may reject in a second; nothing if it is not brittle.
	/// @returns true if the server said something else, or nothing, before.
	bool onAnswer(BackendKey _key, std::optional<double> _rejections);

	/// Notes that a request was placed.
	/// @param[in] _loads Loads with this request.
	/// @param[in] _agreed Time on which all gateways agree.
	void onPlaced(const KnownBackend& _backend, const Balancer& _loads, Micros _agreed);

	/// Notes that a request has ended.
	/// @param[in] _loads Loads without this request.
	/// @param[in] _rejected The server rejected it for want of room.
	void onEnded(BackendKey _key, const Balancer& _loads, bool _rejected, Micros _agreed);

	/// Raises the loads that this gateway reports to its claims.
	void addClaims(std::vector<BackendLoad>& _loads, Micros _agreed) const;

	/// Removes servers that may get no request now. They may get one at any moment, when a request ends.
	void narrow(Availability& _available, const Balancer& _loads, Micros _agreed) const;

	/// Removes backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

	/// @returns the number of brittle servers.
	std::size_t size() const
	{
		return m_entries.size();
	}

private:
	struct Entry
	{
		double rejections = 0.0;     ///< Borne in a second.
		unsigned claimed = 0;        ///< Slots that this gateway claims.
		Micros claimedUntil = 0;     ///< Agreed time at which the claims on unused slots end.
		Micros holdSpan = kHoldSpan; ///< Time from the end of a request until its claim ends.
		std::uint64_t round = 0;     ///< Round of the last claim.
		unsigned claimedInRound = 0; ///< Slots claimed in that round.
		/// Usable slots at `limitedAt`, after a rejection; kNoLimit if there was none.
		double usable = kNoLimit;
		Micros limitedAt = 0;
	};

	static constexpr double kNoLimit = 1e9;

	bool allows(const KnownBackend& _backend, const Entry& _entry, const Balancer& _loads, Micros _agreed) const;
	/// @returns the slots that all gateways together may use.
	unsigned usableSlots(const KnownBackend& _backend, const Entry& _entry, Micros _agreed) const;
	/// @returns the claims of this gateway.
	static unsigned claimsOf(const Entry& _entry, unsigned _inFlight, Micros _agreed);
	/// @returns the slots that no gateway claims, as far as is known.
	unsigned freeSlots(const KnownBackend& _backend, const Entry& _entry, const Balancer& _loads,
					   Micros _agreed) const;
	/// @returns the part of the free slots that this gateway may use in a round.
	unsigned partOf(unsigned _free, BackendKey _key, std::uint64_t _round) const;
	/// @returns the length of a round, in whose first half requests are added.
	Micros roundSpan() const;
	std::unordered_map<BackendKey, Entry, BackendKeyHash> m_entries;
	std::size_t m_members = 1;
	std::size_t m_index = 0;
	Micros m_reportDelay = 0;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BRITTLESERVERS_H
