// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/contenthistory.h"

namespace beacongate
{
void ContentHistory::onReplaced(const StoreContent& before, const StoreContent& after)
{
	if (m_from == 0)
	{
		m_from = after.revision;
		return;
	}
	for (const auto& [key, item] : before.items)
	{
		if (!after.items.count(key))
		{
			m_removals.push_back({key, after.revision});
		}
	}
	while (m_removals.size() > kRemovals)
	{
		m_from = m_removals.front().revision;
		m_removals.pop_front();
	}
}

bool ContentHistory::covers(const StoreContent& content, std::uint64_t since) const
{
	return m_from != 0 && since >= m_from && since <= content.revision;
}

ContentUpdate ContentHistory::updateSince(const StoreContent& content, std::uint64_t since) const
{
	ContentUpdate update;
	update.since = since;
	update.revision = content.revision;
	for (const auto& [key, item] : content.items)
	{
		if (item.revision <= since)
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
	for (const Removal& removal : m_removals)
	{
		if (removal.revision > since)
		{
			update.removed.push_back(removal.key);
		}
	}
	return update;
}

void applyUpdate(StoreContent& content, const ContentUpdate& update)
{
	for (const std::string& key : update.removed)
	{
		content.items.erase(key);
	}
	for (const KvItem& item : update.items)
	{
		content.items[item.key] = item;
	}
	content.revision = update.revision;
}

} // namespace beacongate
