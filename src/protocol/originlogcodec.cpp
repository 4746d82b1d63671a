// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/originlogcodec.h"

#include "protocol/json.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr unsigned kFormat = 1;
} // namespace

std::string encodeOriginLog(const std::vector<StreamOriginRecord>& _records)
{
	std::vector<VersionKey> versions;
	Json versionFields = Json::array();
	Json streams = Json::array();
	for (const StreamOriginRecord& record : _records)
	{
		auto version = std::find(versions.begin(), versions.end(), record.version);
		if (version == versions.end())
		{
			version = versions.insert(versions.end(), record.version);
			versionFields.push_back(record.version.value);
		}
		streams.push_back(record.stream.value);
		streams.push_back(std::distance(versions.begin(), version));
	}
	std::string bytes;
	Json::to_msgpack(Json::array({kFormat, std::move(versionFields), std::move(streams)}), bytes);
	return bytes;
}

std::optional<std::vector<StreamOriginRecord>> decodeOriginLog(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		// A later format may have more fields at its end, which are ignored.
		if (!fields.is_array() || fields.at(0).get<unsigned>() < kFormat)
		{
			return std::nullopt;
		}
		const Json& versions = fields.at(1);
		const Json& streams = fields.at(2);
		std::vector<StreamOriginRecord> records;
		for (std::size_t index = 0; index < streams.size(); index += 2)
		{
			StreamOriginRecord record;
			record.stream.value = streams.at(index).get<std::uint64_t>();
			record.version.value = versions.at(streams.at(index + 1).get<std::size_t>()).get<std::uint64_t>();
			records.push_back(record);
		}
		return records;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
