// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A gateway's view of the store: the configuration in force, the backend servers, and the age of both.

#ifndef BEACONGATE_COORDINATION_DIRECTORY_H
#define BEACONGATE_COORDINATION_DIRECTORY_H

#include "beacongate/routing.h"
#include "coordination/backendkey.h"
#include "coordination/departurelog.h"
#include "coordination/drainbudget.h"
#include "coordination/versionkey.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// The store's content at one revision.
struct StoreSnapshot
{
	std::uint64_t revision = 0;
	RoutingConfigPtr config; ///< nullptr if there is none, or it could not be read.
	std::vector<BackendRecord> backends;
	/// Steady time not later than the sending of the read; the content was read at or after it.
	Micros confirmed = 0;
	std::vector<std::string> unreadable = {}; ///< See BackendList.
};

/// Records of all backend servers at one revision, without the rest of the store.
struct BackendList
{
	std::uint64_t revision = 0;
	std::vector<BackendRecord> records;
	Micros confirmed = 0; ///< Steady time not later than the sending of the read.
	/// Ids whose records cannot be parsed at present, for instance because another writer wrote them. Such a
	/// server must not be used.
	std::vector<std::string> unreadable = {};
};

/// A backend server as this gateway knows it.
struct KnownBackend
{
	BackendRecord record;
	BackendKey key;             ///< Key of the record's incarnation.
	VersionKey version;         ///< Key of the record's service and software version.
	Micros leavesAt = kNever;   ///< When it will be reclaimed.
	Micros coldUntil = 0;       ///< It is slow after its start until then.
	Micros vanishedAt = kNever; ///< When its record was first found missing or unreadable.
	Micros graceUntil = 0;      ///< Until then, it is used without a record if no other backend server is left.
	/// Until then, a missing record is assumed to have expired in an outage of the store.
	Micros lapsedUntil = 0;
	Micros drainingSince = kNever; ///< When it was first known to take no new work.
	bool misdirected = false;      ///< Another server answered at its address.

	/// @returns true if new work may go to it.
	bool usable() const
	{
		return !record.draining && !misdirected && vanishedAt == kNever;
	}
};

/// State of a backend server on a gateway's list.
enum class ListingState : std::uint8_t
{
	Listed,   ///< It has a record and takes work.
	Lapsed,   ///< Its record expired in an outage of the store and may come back: it takes work.
	Vanished, ///< Its record was removed recently: it takes work if no other does.
	Gone,     ///< It takes no work, or is unknown.
};

/// @returns the name used in logs and metrics.
std::string_view toString(ListingState _standing);

/// Source from which a gateway learnt that a backend server takes no new work any more.
enum class DepartureSource : std::uint8_t
{
	Record,     ///< Its record says so.
	Missing,    ///< Its record was removed.
	Unreadable, ///< Its record cannot be parsed any more; a valid one lets it take work again at once.
	Peer,       ///< A peer reported it.
	Answer,     ///< It said so in an answer, even if the store does not show it yet or is unreachable.
};

/// @returns the name used in logs.
std::string_view toString(DepartureSource _source);

/// First finding that a backend server is leaving.
struct DepartureNotice
{
	BackendIdentity backend;
	DepartureSource source = DepartureSource::Record;
};

/// Merges snapshots so that nothing older ever replaces something newer.
class Directory
{
public:
	/// Longest time for which a backend server whose record vanished without notice is used if no other is
	/// left: a leaving server may get work for a short while. It may have left right after the last list that
	/// named it, so the time counts from that list, however late the record is found missing.
	static constexpr Micros kVanishedGrace = 800 * kMillisecond;
	/// After an outage of the store longer than this, records may have expired although their backend servers
	/// run.
	static constexpr Micros kOutageThreshold = 1500 * kMillisecond;
	/// After an outage, expired records are renewed within this span; a record that is still missing then is
	/// gone.
	static constexpr Micros kLapsedGrace = 2 * kSecond;
	/// A vanished record is remembered for this long.
	static constexpr Micros kVanishedRetention = 10 * kSecond;
	/// A restored store lists servers again that left since its copy, until their leases end: a server that is
	/// known to have left is not used again for this long.
	static constexpr Micros kRestoredSpan = 5 * kSecond;

	/// Merges a snapshot of the store.
	/// @returns true if the version of the configuration rose.
	bool apply(const StoreSnapshot& _snapshot, Micros _now);

	/// Merges a list that was read separately. An older list changes nothing.
	void applyList(const BackendList& _list, Micros _now);

	/// Applies a snapshot whose backend servers are those of the last snapshot.
	/// @param[in] _config Its configuration; nullptr if it was not changed.
	/// @returns true if the configuration is newer than the one in force so far.
	bool applyWithoutList(std::uint64_t _revision, const RoutingConfigPtr& _config, Micros _confirmed, Micros _now);

	/// Notes that the present configuration was confirmed as the newest.
	/// @param[in] _confirmed Steady time at which it certainly was the newest.
	void confirm(Micros _confirmed);

	/// Notes that the present list of backend servers was confirmed as the newest.
	/// @param[in] _confirmed Steady time at which it certainly was the newest.
	void confirmList(Micros _confirmed);

	/// Sets the bound on requests to a server that has left.
	/// @param[in] _bound Time from a departure's record until no request may reach the server.
	void setDrainBound(Micros _bound)
	{
		m_drain = DrainBudget(_bound);
	}

	/// Notes that this gateway cannot reach the store, as StoreReachability found: records may expire although
	/// their backend servers run, and no newer list is available.
	void onStoreUnreachable(Micros _now)
	{
		m_storeUnreachableAt = std::max(m_storeUnreachableAt, _now);
	}

	/// Notes that another server answered at the address of a backend server. This does not affect a later
	/// incarnation.
	void markMisdirected(const BackendIdentity& _backend);

	/// Notes that another source reported an incarnation to be leaving; nothing changes if another incarnation
	/// is listed.
	void markDraining(const BackendIdentity& _backend, DepartureSource _source, Micros _now);

	/// @returns the departures that were found recently, for messages to other gateways.
	const DepartureLog& departures() const
	{
		return m_departures;
	}

	/// @returns the departures found since the last call, for the log.
	std::vector<DepartureNotice> takeDepartureNotices();

	/// @returns the configuration in force, or nullptr.
	const RoutingConfigPtr& config() const
	{
		return m_config;
	}

	/// @returns the newest known revision of the store.
	std::uint64_t revision() const
	{
		return m_revision;
	}

	/// @returns the time since the configuration was last confirmed.
	Micros age(Micros _now) const;

	/// @returns the time since the list of backend servers was last confirmed.
	Micros listAge(Micros _now) const
	{
		return _now - m_listConfirmed;
	}

	/// @returns true if the list is so old that a backend server on it may have left although the store is
	/// reachable: no request may be sent by it.
	bool listOutdated(Micros _now) const
	{
		return listAge(_now) > m_drain.maxListAge && m_storeUnreachableAt <= m_listConfirmed;
	}

	/// @returns the state of an incarnation of a backend server on the list.
	ListingState listingState(const BackendIdentity& _backend, Micros _now) const;

	/// @returns true if a request that was assigned to a backend server may still be sent to it.
	bool takesWork(const BackendIdentity& _backend, Micros _now) const;

	/// @returns all backend servers by id, also those that take no new work.
	const std::map<std::string, KnownBackend>& backends() const
	{
		return m_backends;
	}

	/// @returns a service's backend servers that may get new work; those in state Vanished only if there are no
	/// others.
	/// @param[in] _version Only servers of this software version are returned; any if there is none.
	std::vector<const KnownBackend*> usableOf(const std::string& _service, Micros _now,
											  std::optional<VersionKey> _version = std::nullopt) const;

private:
	static ListingState listingStateOf(const KnownBackend& _known, Micros _now);
	/// @param[in] _lastListed Steady time at which the previous list was certainly the newest.
	/// Notes the end of an outage of the store, if there was one since the list was last confirmed, or its restore.
	/// @param[in] _listRevision Revision of the new list.
	void noteOutageEnd(std::uint64_t _listRevision, Micros _now);
	bool adoptConfig(const RoutingConfigPtr& _config);
	/// Notes that a configuration was the store's newest.
	void confirmConfig(const RoutingConfigPtr& _config, Micros _confirmed);
	void mergeBackends(const BackendList& _list, Micros _lastListed, Micros _now);
	void mergeRecord(const BackendRecord& _record, Micros _now);
	void markVanished(KnownBackend& _known, Micros _lastListed, Micros _now);
	void markUnreadable(const std::string& _id, Micros _now);
	void recordDeparture(const BackendIdentity& _backend, DepartureSource _source, Micros _now);
	/// @returns the backend server if that incarnation is listed, else nullptr.
	const KnownBackend* find(const BackendIdentity& _backend) const;
	KnownBackend* find(const BackendIdentity& _backend);

	RoutingConfigPtr m_config;
	std::uint64_t m_revision = 0;
	Micros m_confirmed = kLongAgo;
	std::uint64_t m_listRevision = 0;
	Micros m_listConfirmed = kLongAgo;      ///< Steady time at which the list was certainly the newest.
	Micros m_storeUnreachableAt = kLongAgo; ///< When the store was last found unreachable.
	DrainBudget m_drain{2 * kSecond};
	Micros m_outageEnded = kLongAgo;
	Micros m_restoredAt = kLongAgo; ///< When a list of a later era of the store was first applied.
	std::map<std::string, KnownBackend> m_backends;
	DepartureLog m_departures;
	/// At most one for each backend server and source until taken.
	std::vector<DepartureNotice> m_departureNotices;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DIRECTORY_H
