// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a gateway believes of the store: the configuration in force, the backend servers, and how fresh that is.

#ifndef BEACONGATE_COORDINATION_DIRECTORY_H
#define BEACONGATE_COORDINATION_DIRECTORY_H

#include "beacongate/routing.h"
#include "coordination/backendkey.h"
#include "coordination/drainbudget.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// The store's content at one revision.
struct StoreSnapshot
{
	std::uint64_t revision = 0;
	RoutingConfigPtr config; ///< nullptr where there is none, or it could not be read.
	std::vector<BackendRecord> backends;
	/// Steady time before which the call that read it had not been sent.
	Micros confirmed = 0;
	std::vector<std::string> unreadable = {}; ///< See BackendList.
};

/// The records of all backend servers at one revision, without the rest of the store.
struct BackendList
{
	std::uint64_t revision = 0;
	std::vector<BackendRecord> records;
	Micros confirmed = 0; ///< Steady time before which the call that read them had not been sent.
	/// Ids whose records make no sense at present, be it that another writer wrote them: they name no server to
	/// use.
	std::vector<std::string> unreadable = {};
};

/// A backend server as this gateway knows it.
struct KnownBackend
{
	BackendRecord record;
	BackendKey key;                ///< Of the record's incarnation.
	Micros leavesAt = kNever;      ///< When it is reclaimed.
	Micros coldUntil = 0;          ///< It is slow until then.
	Micros vanishedAt = kNever;    ///< When its record was first found missing.
	Micros graceUntil = 0;         ///< Until then, it is used though its record is missing, where no other is left.
	Micros lapsedUntil = 0;        ///< Until then, a missing record is taken to have lapsed in an outage.
	Micros drainingSince = kNever; ///< When it was first known to take no new work.
	bool misdirected = false;      ///< Another server answered at its address.

	/// @returns whether new work may go to it.
	bool usable() const
	{
		return !record.draining && !misdirected && vanishedAt == kNever;
	}
};

/// How a backend server stands on the list of a gateway.
enum class ListingState : std::uint8_t
{
	Listed,   ///< It takes work.
	Lapsed,   ///< Its record went in an outage of the store and may come back: it takes work.
	Vanished, ///< Its record went a moment ago: it takes work where no other does.
	Gone,     ///< It takes no work, or is not known.
};

/// @returns a short name for logs.
std::string_view toString(ListingState _standing);

/// From what a gateway learnt that a backend server takes no new work any more.
enum class DepartureSource : std::uint8_t
{
	Record,     ///< Its record says so.
	Missing,    ///< Its record went.
	Unreadable, ///< Its record makes no sense any more; a good one lets it take work at once.
	Peer,       ///< A peer said so.
	Answer,     ///< It said so itself in an answer, be it that the store does not show it yet, or is away.
};

/// @returns a short name for logs.
std::string_view toString(DepartureSource _sign);

/// A backend server was first found to be leaving.
struct DepartureNotice
{
	BackendIdentity backend;
	DepartureSource sign = DepartureSource::Record;
};

/// Merges snapshots so that nothing older ever replaces something newer.
class Directory
{
public:
	/// A record that vanished without notice is still used for this long at most where no other is left: a leaving
	/// server may be given work for a short while. It may have left right after the list that named it last, so
	/// that the span that is allowed counts from there, however late its record was found missing.
	static constexpr Micros kVanishedGrace = 800 * kMillisecond;
	/// Without a snapshot for longer than this, records may have lapsed though their backend servers live.
	static constexpr Micros kOutageThreshold = 1500 * kMillisecond;
	/// After an outage, records that lapsed are back within this span; one that is still missing is gone.
	static constexpr Micros kLapsedGrace = 2 * kSecond;
	/// A vanished record is remembered for this long.
	static constexpr Micros kVanishedRetention = 10 * kSecond;

	/// Takes in what was read.
	/// @returns whether the configuration's version rose.
	bool apply(const StoreSnapshot& _snapshot, Micros _now);

	/// Takes in a list that was read by itself. An older one changes nothing.
	void applyList(const BackendList& _list, Micros _now);

	/// The present configuration was confirmed as the newest.
	/// @param[in] confirmed Steady time at which it certainly was.
	void confirm(Micros _confirmed);

	/// The present snapshot was found to be still the newest.
	/// @param[in] confirmed Steady time at which it certainly was.
	void confirmList(Micros _confirmed);

	/// Sets the bound on requests to a server that has left.
	/// @param[in] _bound Time from a departure's record until no request may reach the server.
	void setDrainBound(Micros _bound)
	{
		m_drain = DrainBudget(_bound);
	}

	/// The store is out of reach of this gateway, as StoreReachability tells: records may lapse without their
	/// backend servers' doing, and no newer list is to be had.
	void onStoreUnreachable(Micros _now)
	{
		m_storeUnreachableAt = std::max(m_storeUnreachableAt, _now);
	}

	/// A backend server answered that it is not the one that was meant. That says nothing of a later incarnation.
	void markMisdirected(const BackendIdentity& _backend);

	/// An incarnation is known from elsewhere to be leaving; nothing changes where another one is listed.
	void markDraining(const BackendIdentity& _backend, DepartureSource _sign, Micros _now);

	/// @returns incarnations that were found to be leaving within a span.
	std::vector<BackendIdentity> drainingSince(Micros _moment) const;

	/// @returns what was found out about leaving backend servers since the last call, for the log.
	std::vector<DepartureNotice> takeDepartureNotices();

	/// @returns the configuration in force, or nullptr.
	const RoutingConfigPtr& config() const
	{
		return m_config;
	}

	/// @returns the store's revision that is known.
	std::uint64_t revision() const
	{
		return m_revision;
	}

	/// @returns for how long the configuration has not been confirmed.
	Micros age(Micros _now) const;

	/// @returns for how long the list of backend servers has not been confirmed.
	Micros listAge(Micros _now) const
	{
		return _now - m_listConfirmed;
	}

	/// @returns whether the list is so old that a backend server on it may have left, though the store can be
	/// reached: nothing may be sent by it.
	bool listOutdated(Micros _now) const
	{
		return listAge(_now) > m_drain.maxListAge && m_storeUnreachableAt <= m_listConfirmed;
	}

	/// @returns how an incarnation of a backend server stands on the list.
	ListingState listingState(const BackendIdentity& _backend, Micros _now) const;

	/// @returns whether a request that was meant for a backend server may still be sent to it.
	bool takesWork(const BackendIdentity& _backend, Micros _now) const;

	/// @returns all backend servers by id, also those that take no new work.
	const std::map<std::string, KnownBackend>& backends() const
	{
		return m_backends;
	}

	/// @returns ids of a service's backend servers that take new work.
	std::vector<const KnownBackend*> usableOf(const std::string& _service, Micros _now) const;

private:
	static ListingState listingStateOf(const KnownBackend& _known, Micros _now);
	/// @param[in] _lastListed When the list before this one was certainly the newest.
	void mergeBackends(const BackendList& _list, Micros _lastListed, Micros _now);
	void mergeRecord(const BackendRecord& _record, Micros _now);
	void markVanished(KnownBackend& _known, Micros _lastListed, Micros _now);
	void markUnreadable(const std::string& _id, Micros _now);
	/// @returns the backend server if that incarnation is listed, else nullptr.
	const KnownBackend* find(const BackendIdentity& _backend) const;
	KnownBackend* find(const BackendIdentity& _backend);

	RoutingConfigPtr m_config;
	std::uint64_t m_revision = 0;
	Micros m_confirmed = kLongAgo;
	std::uint64_t m_listRevision = 0;
	Micros m_listConfirmed = kLongAgo;      ///< When the list of backend servers was certainly the newest.
	Micros m_storeUnreachableAt = kLongAgo; ///< When the store was found out of reach last.
	DrainBudget m_drain{2 * kSecond};
	Micros m_outageEnded = kLongAgo;
	std::map<std::string, KnownBackend> m_backends;
	std::vector<DepartureNotice> m_departureNotices; ///< One at most for each backend server and sign until taken.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DIRECTORY_H
