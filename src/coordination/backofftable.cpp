// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/backofftable.h"

#include <algorithm>
#include <unordered_set>

namespace beacongate
{
void BackoffTable::onAsked(BackendKey _key, Micros _span, Micros _now)
{
	Micros& end = m_ends[_key];
	end = std::max(end, _now + _span);
}

Micros BackoffTable::left(BackendKey _key, Micros _now) const
{
	const auto it = m_ends.find(_key);
	return it == m_ends.end() ? 0 : std::max<Micros>(0, it->second - _now);
}

void BackoffTable::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_ends, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
