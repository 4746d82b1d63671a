// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/contenthistory.h"

#include <algorithm>
#include <set>

namespace beacongate
{
void ContentHistory::onReplaced(const StoreContent& _before, const StoreContent& _after)
{
	std::vector<std::string> removed;
	for (const auto& [key, item] : _before.items)
	{
		if (!_after.items.count(key))
		{
			removed.push_back(key);
		}
	}
	onUpdated(removed, _after.revision);
}

void ContentHistory::onUpdated(const std::vector<std::string>& _removed, std::uint64_t _revision)
{
	m_held.push_back(_revision);
	if (m_held.size() > kHeldRevisions)
	{
		m_held.pop_front();
	}
	if (m_coveredSince == 0)
	{
		m_coveredSince = _revision;
		return;
	}
	for (const std::string& key : _removed)
	{
		m_removals.push_back({key, _revision});
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

ContentUpdate ContentHistory::updateSince(const StoreContent& _content, std::uint64_t _since,
										  const UpdateFilter& _filter) const
{
	ContentUpdate update;
	update.since = _since;
	update.revision = _content.revision;
	for (const auto& [key, item] : _content.items)
	{
		if (item.revision <= _since || (_filter.isPrivate && _filter.isPrivate(key)))
		{
			continue;
		}
		if (item.value.size() <= kValueBytes || (_filter.mayCarry && _filter.mayCarry(item)))
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

AppliedUpdate applyUpdate(StoreContent& _content, const ContentUpdate& _update)
{
	AppliedUpdate applied;
	for (const std::string& key : _update.removed)
	{
		if (_content.items.erase(key) > 0)
		{
			applied.removed.push_back(key);
		}
	}
	if (_update.keys)
	{
		const std::set<std::string> present(_update.keys->begin(), _update.keys->end());
		std::erase_if(_content.items,
					  [&](const auto& _entry)
					  {
						  const bool gone = !present.count(_entry.first);
						  gone ? applied.removed.push_back(_entry.first) : void();
						  return gone;
					  });
	}
	for (const KvItem& item : _update.items)
	{
		KvItem& held = _content.items[item.key];
		const bool isSame = held.revision != 0 && held.value == item.value;
		(isSame ? applied.rewritten : applied.changed).push_back(item.key);
		held = item;
	}
	_content.revision = _update.revision;
	return applied;
}

} // namespace beacongate
