// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/versionhistory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beacongate
{
namespace
{
/// A log that another gateway wrote is complete from nearly the same time on, as clocks tell it.
constexpr Micros kClockTolerance = 10 * kSecond;
/// Versions that will be forgotten within this time are not added to a log: others may have dropped them already.
constexpr Micros kForgettingSpan = 60 * kSecond;

/// @returns the monotonic time of a true time that has passed.
Micros toMonotonic(Micros _trueTime, Micros _now, Micros _trueNow)
{
	return _now - std::max<Micros>(0, _trueNow - _trueTime);
}
} // namespace

void VersionHistory::update(const Directory& _directory, Micros _now)
{
	for (auto& [service, versions] : m_sightings)
	{
		for (auto& [version, sighting] : versions)
		{
			sighting.listed = false;
		}
	}
	for (const auto& [id, known] : _directory.backends())
	{
		m_sightings[ServiceKey(known.record.service)][known.version] = {true, _now};
	}
	for (auto& [service, versions] : m_sightings)
	{
		std::erase_if(versions,
					  [_now](const auto& _entry) { return _now - _entry.second.lastListed > kRetention; });
	}
	std::erase_if(m_sightings, [](const auto& _entry) { return _entry.second.empty(); });
}

void VersionHistory::adopt(const VersionLog& _log, std::uint64_t _era, Micros _now, Micros _trueNow)
{
	if (_log.era == _era)
	{
		// Versions of an earlier era's log stay: whoever writes the log of this era takes them over.
		m_logged.clear();
	}
	for (const VersionLogEntry& entry : _log.entries)
	{
		// A version that comes back soon is in the log for long enough, also before it is listed there again.
		if (entry.listed || _trueNow - entry.lastListed < kRetention / 2)
		{
			m_logged.insert(entry.version);
		}
		// A version that the log lists may have left only just now.
		const Micros lastListed = entry.listed ? _now : toMonotonic(entry.lastListed, _now, _trueNow);
		Sighting& sighting = m_sightings[entry.service][entry.version];
		sighting.lastListed = std::max(sighting.lastListed, lastListed);
	}
	if (_log.era == _era)
	{
		const Micros since = _log.completeSince == 0 ? kLongAgo : toMonotonic(_log.completeSince, _now, _trueNow);
		m_completeSince = std::min(m_completeSince, since);
	}
}

VersionLog VersionHistory::log(std::uint64_t _era, Micros _now, Micros _trueNow) const
{
	VersionLog log{_era, trueCompleteSince(_now, _trueNow), {}};
	for (const auto& [service, versions] : m_sightings)
	{
		for (const auto& [version, sighting] : versions)
		{
			log.entries.push_back({service, version, sighting.listed, _trueNow - (_now - sighting.lastListed)});
		}
	}
	return log;
}

bool VersionHistory::needsWriting(const std::optional<VersionLog>& _stored, std::uint64_t _era, bool _mayDrop,
								  Micros _now, Micros _trueNow) const
{
	if (!_stored || _stored->era != _era)
	{
		return !_stored || _stored->era < _era;
	}
	if (trueCompleteSince(_now, _trueNow) + kClockTolerance < _stored->completeSince)
	{
		return true;
	}
	std::set<std::pair<ServiceKey, VersionKey>> stored;
	for (const VersionLogEntry& entry : _stored->entries)
	{
		stored.emplace(entry.service, entry.version);
		if (differs(entry, _mayDrop, _trueNow))
		{
			return true;
		}
	}
	for (const auto& [service, versions] : m_sightings)
	{
		for (const auto& [version, sighting] : versions)
		{
			// A version that has left may be missing too, where the log was written by a gateway that never saw it.
			const bool matters = sighting.listed || _now - sighting.lastListed < kRetention - kForgettingSpan;
			if (matters && !stored.count({service, version}))
			{
				return true;
			}
		}
	}
	return false;
}

bool VersionHistory::differs(const VersionLogEntry& _stored, bool _mayDrop, Micros _trueNow) const
{
	const auto service = m_sightings.find(_stored.service);
	const bool known = service != m_sightings.end() && service->second.count(_stored.version) != 0;
	const bool listed = known && service->second.at(_stored.version).listed;
	const bool over = !_stored.listed && _trueNow - _stored.lastListed > kRetention;
	return (listed && !_stored.listed) || (_mayDrop && ((_stored.listed && !listed) || over));
}

Micros VersionHistory::trueCompleteSince(Micros _now, Micros _trueNow) const
{
	return m_completeSince <= kLongAgo ? 0 : std::max<Micros>(1, _trueNow - (_now - m_completeSince));
}

std::vector<VersionKey> VersionHistory::versionsOf(ServiceKey _service) const
{
	std::vector<VersionKey> versions;
	const auto service = m_sightings.find(_service);
	if (service != m_sightings.end())
	{
		for (const auto& [version, sighting] : service->second)
		{
			versions.push_back(version);
		}
	}
	return versions;
}

bool VersionHistory::allLogged() const
{
	for (const auto& [service, versions] : m_sightings)
	{
		for (const auto& [version, sighting] : versions)
		{
			if (sighting.listed && !isLogged(version))
			{
				return false;
			}
		}
	}
	return true;
}

bool VersionHistory::hasSeveral() const
{
	return std::any_of(m_sightings.begin(), m_sightings.end(),
					   [](const auto& _entry) { return _entry.second.size() > 1; });
}

bool VersionHistory::isOneOfSeveral(VersionKey _version) const
{
	return std::any_of(m_sightings.begin(), m_sightings.end(),
					   [_version](const auto& _entry)
					   { return _entry.second.size() > 1 && _entry.second.count(_version) != 0; });
}

bool VersionHistory::contains(ServiceKey _service, VersionKey _version) const
{
	const auto service = m_sightings.find(_service);
	return service != m_sightings.end() && service->second.count(_version) != 0;
}

} // namespace beacongate
