// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/versioncodec.h"

#include "protocol/json.h"

namespace beacongate
{
std::string encodeVersionLog(const VersionLog& _log)
{
	Json entries = Json::array();
	for (const VersionLogEntry& entry : _log.entries)
	{
		entries.push_back(Json::array({entry.service.value, entry.version.value, entry.listed, entry.lastListed}));
	}
	const Json document{
		{"era", _log.era}, {"complete_since", _log.completeSince}, {"versions", std::move(entries)}};
	return document.dump();
}

std::optional<VersionLog> decodeVersionLog(const std::string& _text)
{
	const Json document = Json::parse(_text, nullptr, false);
	try
	{
		VersionLog log;
		log.era = document.at("era").get<std::uint64_t>();
		log.completeSince = document.at("complete_since").get<Micros>();
		for (const Json& fields : document.at("versions"))
		{
			VersionLogEntry entry;
			entry.service.value = fields.at(0).get<std::uint64_t>();
			entry.version.value = fields.at(1).get<std::uint64_t>();
			entry.listed = fields.at(2).get<bool>();
			entry.lastListed = fields.at(3).get<Micros>();
			log.entries.push_back(entry);
		}
		return log;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
