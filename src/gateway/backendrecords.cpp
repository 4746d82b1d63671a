// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendrecords.h"

#include "daemon/logging.h"
#include "platform/documents.h"

#include <algorithm>
#include <set>

namespace beacongate
{
BackendEntries BackendRecords::read(const std::map<std::string, KvItem>& _items)
{
	BackendEntries entries;
	std::set<std::string> present;
	for (const auto& [key, item] : _items)
	{
		const auto id = platform::backendIdOf(item);
		if (!id)
		{
			continue;
		}
		present.insert(*id);
		const Parsed& parsed = parse(*id, item);
		if (parsed.record)
		{
			entries.records.push_back(*parsed.record);
		}
		else
		{
			entries.unreadable.push_back(*id);
		}
	}
	std::erase_if(m_parsed, [&present](const auto& _entry) { return !present.count(_entry.first); });
	excludeWithoutStartTime(entries);
	return entries;
}

const BackendRecords::Parsed& BackendRecords::parse(const std::string& _id, const KvItem& _item)
{
	Parsed& parsed = m_parsed[_id];
	if (parsed.revision == _item.revision)
	{
		return parsed;
	}
	parsed.revision = _item.revision;
	parsed.record.reset();
	try
	{
		parsed.record = platform::readBackend(_id, _item.value);
	}
	catch (const std::exception& error)
	{
		onRefused(_id, error.what());
	}
	return parsed;
}

void BackendRecords::excludeWithoutStartTime(BackendEntries& _entries)
{
	const auto withoutStartTime = [](const BackendRecord& _record)
	{
		return _record.born == 0;
	};
	const auto count = std::count_if(_entries.records.begin(), _entries.records.end(), withoutStartTime);
	if (2 * static_cast<std::size_t>(count) >= _entries.records.size())
	{
		return;
	}
	for (const BackendRecord& record : _entries.records)
	{
		if (withoutStartTime(record))
		{
			_entries.unreadable.push_back(record.id);
		}
	}
	std::erase_if(_entries.records, withoutStartTime);
}

void BackendRecords::onRefused(const std::string& _id, std::string_view _detail)
{
	++m_refusals;
	if (m_refusals <= kMaxRefusalsLogged || m_refusals % kRefusalLogInterval == 0)
	{
		logEvent(LogLevel::Warning, "backend-refused",
				 {{"backend", _id}, {"detail", std::string(_detail)}, {"refusals", std::to_string(m_refusals)}});
	}
}

} // namespace beacongate
