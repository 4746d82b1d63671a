// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The software versions of each service that serve, or have served recently.

#ifndef BEACONGATE_COORDINATION_VERSIONHISTORY_H
#define BEACONGATE_COORDINATION_VERSIONHISTORY_H

#include "coordination/directory.h"
#include "coordination/streamorigin.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace beacongate
{
/// A version of a service in the fleet's log of versions. All times are true times since the start of 1970.
struct VersionLogEntry
{
	ServiceKey service;
	VersionKey version;
	bool listed = false;   ///< Backend servers of the version are listed.
	Micros lastListed = 0; ///< When the last one was listed.
};

/// What the store holds of the versions, so that it outlives all gateways.
struct VersionLog
{
	std::uint64_t era = 0;    ///< Era of the store in which it was written. A restored copy lacks what came later.
	Micros completeSince = 0; ///< True time from which on it names each version; 0 for always.
	std::vector<VersionLogEntry> entries;
};

/// Remembers the versions of a gateway's list of backend servers for as long as a stream that began there may be
/// taken up: a version whose servers have all left is still the only one at which its streams could have gone on.
///
/// A process that has just started has not seen which versions have left. It knows them by the log that the store
/// holds; without one, its history is not complete until it has run for kRetention.
class VersionHistory
{
public:
	/// Time for which a version is remembered after its last backend server was listed: the longest lifetime of a
	/// stream.
	static constexpr Micros kRetention = 600 * kSecond;

	/// @param[in] _completeSince From when on the history sees each version: the start of this process, or kLongAgo
	/// if there were no gateways before.
	explicit VersionHistory(Micros _completeSince) : m_completeSince(_completeSince)
	{
	}

	/// Notes the versions of the present list, and forgets those that are over.
	void update(const Directory& _directory, Micros _now);

	/// Takes the versions of the store's log over.
	/// @param[in] _era Present era of the store.
	/// @param[in] _trueNow True time now.
	void adopt(const VersionLog& _log, std::uint64_t _era, Micros _now, Micros _trueNow);

	/// @returns true if the store's log lists a version. A stream that may be taken up must not begin at another
	/// one: gateways that start after all others were lost would not know of it.
	bool isLogged(VersionKey _version) const
	{
		return m_logged.count(_version) != 0;
	}

	/// @returns true if the store's log lists all versions that are listed now.
	bool allLogged() const;

	/// @returns true if a service had several versions within kRetention.
	bool hasSeveral() const;

	/// @returns true if the service of a version had other versions within kRetention.
	bool isOneOfSeveral(VersionKey _version) const;

	/// @returns what the store should hold.
	VersionLog log(std::uint64_t _era, Micros _now, Micros _trueNow) const;

	/// @returns true if the store's log must be written again.
	/// @param[in] _stored The store's log; nothing if it holds none.
	/// @param[in] _mayDrop Versions that have left count too. One gateway alone notes them, since lists differ for
	/// a moment.
	bool needsWriting(const std::optional<VersionLog>& _stored, std::uint64_t _era, bool _mayDrop, Micros _now,
					  Micros _trueNow) const;

	/// @returns true if versionsOf() has all versions at which a stream that is taken up now may have begun.
	bool isComplete(Micros _now) const
	{
		return m_completeSince <= _now - kRetention;
	}

	/// @returns the versions of a service that were listed within kRetention.
	std::vector<VersionKey> versionsOf(ServiceKey _service) const;

	/// @returns true if a service had a version within kRetention.
	bool contains(ServiceKey _service, VersionKey _version) const;

private:
	struct Sighting
	{
		bool listed = false;
		Micros lastListed = 0;
	};

	/// @returns the true time of m_completeSince; 0 for always.
	Micros trueCompleteSince(Micros _now, Micros _trueNow) const;
	/// @returns true if the store's log states a version otherwise than this gateway sees it.
	bool differs(const VersionLogEntry& _stored, bool _mayDrop, Micros _trueNow) const;

	std::map<ServiceKey, std::map<VersionKey, Sighting>> m_sightings;
	std::set<VersionKey> m_logged; ///< Versions that the store's log lists.
	Micros m_completeSince;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_VERSIONHISTORY_H
