// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendrecords.h"

#include "daemon/logging.h"
#include "platform/documents.h"

#include <set>

namespace beacongate
{
std::vector<BackendRecord> BackendRecords::read(const std::map<std::string, KvItem>& _items)
{
	std::vector<BackendRecord> records;
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
			records.push_back(*parsed.record);
		}
	}
	std::erase_if(m_parsed, [&present](const auto& _entry) { return !present.count(_entry.first); });
	return records;
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
		logEvent(LogLevel::Warning, "backend-refused", {{"backend", _id}, {"detail", error.what()}});
	}
	return parsed;
}

} // namespace beacongate
