// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/contenthistory.h"

#include <algorithm>
#include <set>

namespace beacongate
{
void ContentHistory::onReplaced(const StoreContent& _before, const StoreContent& _after)
{
	m_held.push_back(_after.revision);
	if (m_held.size() > kHeldRevisions)
	{
		m_held.pop_front();
	}
	if (m_coveredSince == 0)
	{
		m_coveredSince = _after.revision;
		return;
	}
	for (const auto& [key, item] : _before.items)
	{
		if (!_after.items.count(key))
		{
			m_removals.push_back({key, _after.revision});
		}
	}
	while (m_removals.size() > kRemovals)
	{
		m_coveredSince = m_removals.front().revision;
		m_removals.pop_front();
	}
}

bool ContentHistory::covers(std::uint64_t _since) const
{
	return m_coveredSince != 0 && _since >= m_coveredSince;
}

ContentUpdate ContentHistory::updateSince(const StoreContent& _content, std::uint64_t _since) const
{
	ContentUpdate update;
	update.since = _since;
	update.revision = _content.revision;
	for (const auto& [key, item] : _content.items)
	{
		if (item.revision <= _since)
		{
			continue;
		}
		if (item.value.size() <= kValueBytes)
		{
			update.items.push_back(item);
		}
		else
		{
			update.leftOut.push_back({key, "", item.revision});
		}
	}
	if (_since < _content.revision && !wasHeld(_since))
	{
		std::vector<std::string>& keys = update.keys.emplace();
		for (const auto& [key, item] : _content.items)
		{
			keys.push_back(key);
		}
		return update;
	}
	for (const Removal& removal : m_removals)
	{
		if (removal.revision > _since)
		{
			update.removed.push_back(removal.key);
		}
	}
	return update;
}

bool ContentHistory::wasHeld(std::uint64_t _revision) const
{
	return std::binary_search(m_held.begin(), m_held.end(), _revision);
}

void applyUpdate(StoreContent& _content, const ContentUpdate& _update)
{
	for (const std::string& key : _update.removed)
	{
		_content.items.erase(key);
	}
	if (_update.keys)
	{
		const std::set<std::string> present(_update.keys->begin(), _update.keys->end());
		std::erase_if(_content.items, [&present](const auto& _entry) { return !present.count(_entry.first); });
	}
	for (const KvItem& item : _update.items)
	{
		_content.items[item.key] = item;
	}
	_content.revision = _update.revision;
}

} // namespace beacongate
