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
#include <vector>

namespace beacongate
{
/// Remembers the versions of a gateway's list of backend servers for as long as a stream that began there may be
/// taken up: a version whose servers have all left is still the only one at which its streams could have gone on.
class VersionHistory
{
public:
	/// Time for which a version is remembered after its last backend server was listed.
	static constexpr Micros kRetention = 120 * kSecond;

	/// Notes the versions of the present list, and forgets those that are over.
	void update(const Directory& _directory, Micros _now);

	/// @returns the versions of a service that were listed within kRetention.
	std::vector<VersionKey> versionsOf(ServiceKey _service) const;

	/// @returns true if a service had a version within kRetention.
	bool contains(ServiceKey _service, VersionKey _version) const;

private:
	std::map<ServiceKey, std::map<VersionKey, Micros>> m_lastListed;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_VERSIONHISTORY_H
