// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/backofftable.h"

#include <algorithm>
#include <unordered_set>

namespace beacongate
{
void BackoffTable::onBackoffRequested(BackendKey _key, Micros _span, Micros _now)
{
	if (_span <= 0)
	{
		return;
	}
	Entry& entry = m_entries[_key];
	entry.end = std::max(entry.end, _now + std::min(_span, kMaxBackoff));
	entry.inFlightLimit = kInitialInFlight;
}

Micros BackoffTable::left(BackendKey _key, Micros _now) const
{
	const auto it = m_entries.find(_key);
	return it == m_entries.end() ? 0 : std::max<Micros>(0, it->second.end - _now);
}

bool BackoffTable::onPlaced(BackendKey _key, Micros _now)
{
	const auto it = m_entries.find(_key);
	if (it == m_entries.end())
	{
		return false;
	}
	if (_now - it->second.end > kRampUpSpan)
	{
		m_entries.erase(it);
		return false;
	}
	++it->second.inFlight;
	return true;
}

void BackoffTable::onEnded(BackendKey _key, bool _accepted)
{
	const auto it = m_entries.find(_key);
	if (it == m_entries.end())
	{
		return;
	}
	Entry& entry = it->second;
	entry.inFlight -= std::min(entry.inFlight, 1u);
	entry.inFlightLimit *= _accepted ? 2 : 1;
	if (entry.inFlightLimit > kMaxLimitedInFlight)
	{
		m_entries.erase(it);
	}
}

bool BackoffTable::isLimited(const Entry& _entry, Micros _now)
{
	return _entry.inFlight >= _entry.inFlightLimit && _now - _entry.end <= kRampUpSpan;
}

Availability BackoffTable::available(std::vector<const KnownBackend*> _candidates,
									 const std::vector<std::string>& _excluded, Micros _now) const
{
	Availability available;
	const auto isUnavailable = [&](const KnownBackend* _backend)
	{
		if (std::find(_excluded.begin(), _excluded.end(), _backend->record.id) != _excluded.end())
		{
			return true;
		}
		const auto it = m_entries.find(_backend->key);
		if (it == m_entries.end())
		{
			return false;
		}
		const Entry& entry = it->second;
		const bool inBackoff = entry.end > _now;
		available.earliestEnd = inBackoff ? std::min(available.earliestEnd, entry.end) : available.earliestEnd;
		const bool limited = !inBackoff && isLimited(entry, _now);
		available.limited = available.limited || limited;
		return inBackoff || limited;
	};
	std::erase_if(_candidates, isUnavailable);
	available.open = std::move(_candidates);
	return available;
}

void BackoffTable::retain(const std::map<std::string, KnownBackend>& _known)
{
	std::unordered_set<BackendKey, BackendKeyHash> keys;
	for (const auto& [id, known] : _known)
	{
		keys.insert(known.key);
	}
	std::erase_if(m_entries, [&keys](const auto& _entry) { return !keys.count(_entry.first); });
}

} // namespace beacongate
