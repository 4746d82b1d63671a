// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/backendrecords.h"

#include "daemon/logging.h"
#include "platform/documents.h"

#include <set>

namespace beacongate
{
std::vector<BackendRecord> BackendRecords::read(const std::map<std::string, KvItem>& items)
{
	std::vector<BackendRecord> records;
	std::set<std::string> present;
	for (const auto& [key, item] : items)
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
	std::erase_if(m_parsed, [&present](const auto& entry) { return !present.count(entry.first); });
	return records;
}

const BackendRecords::Parsed& BackendRecords::parse(const std::string& id, const KvItem& item)
{
	Parsed& parsed = m_parsed[id];
	if (parsed.revision == item.revision)
	{
		return parsed;
	}
	parsed.revision = item.revision;
	parsed.record.reset();
	try
	{
		parsed.record = platform::readBackend(id, item.value);
	}
	catch (const std::exception& error)
	{
		logEvent(LogLevel::Warning, "backend-refused", {{"backend", id}, {"detail", error.what()}});
	}
	return parsed;
}

} // namespace beacongate
