// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/versionhistory.h"

namespace beacongate
{
void VersionHistory::update(const Directory& _directory, Micros _now)
{
	for (const auto& [id, known] : _directory.backends())
	{
		m_lastListed[ServiceKey(known.record.service)][known.version] = _now;
	}
	for (auto& [service, versions] : m_lastListed)
	{
		std::erase_if(versions, [_now](const auto& _entry) { return _now - _entry.second > kRetention; });
	}
	std::erase_if(m_lastListed, [](const auto& _entry) { return _entry.second.empty(); });
}

std::vector<VersionKey> VersionHistory::versionsOf(ServiceKey _service) const
{
	std::vector<VersionKey> versions;
	const auto service = m_lastListed.find(_service);
	if (service != m_lastListed.end())
	{
		for (const auto& [version, listed] : service->second)
		{
			versions.push_back(version);
		}
	}
	return versions;
}

bool VersionHistory::contains(ServiceKey _service, VersionKey _version) const
{
	const auto service = m_lastListed.find(_service);
	return service != m_lastListed.end() && service->second.count(_version) != 0;
}

} // namespace beacongate
