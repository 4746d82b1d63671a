// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Lists of backend servers that differ in their software versions alone.

#ifndef BEACONGATE_TESTS_VERSIONLIST_H
#define BEACONGATE_TESTS_VERSIONLIST_H

#include "coordination/directory.h"

#include <string>
#include <vector>

namespace beacongate::test
{
/// @returns a list with one backend server of each version.
inline BackendList listOfVersions(const std::string& _service, const std::vector<std::string>& _versions,
								  std::uint64_t _revision, Micros _now)
{
	BackendList list;
	list.revision = _revision;
	list.confirmed = _now;
	for (const std::string& version : _versions)
	{
		BackendRecord record;
		record.id = "server-" + version;
		record.service = _service;
		record.version = version;
		list.records.push_back(record);
	}
	return list;
}

} // namespace beacongate::test

#endif // BEACONGATE_TESTS_VERSIONLIST_H
