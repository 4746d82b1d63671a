// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/limitcodec.h"

#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
constexpr unsigned kKind = static_cast<unsigned>(DatagramKind::LimitReport);
constexpr double kNoLimit = -1.0; ///< Encodes that a limit ended.

/// @throws Json::exception where a field is missing or has the wrong type.
BackendLimitRecord decodeRecord(const Json& _fields)
{
	BackendLimitRecord record;
	record.key.value = _fields.at(0).get<std::uint32_t>();
	const double limit = _fields.at(1).get<double>();
	record.limit = std::isfinite(limit) && limit >= 0.0 ? std::optional<double>(limit) : std::nullopt;
	record.age = std::max<Micros>(0, _fields.at(2).get<Micros>());
	return record;
}
} // namespace

std::string encodeLimits(const std::vector<BackendLimitRecord>& _records)
{
	Json records = Json::array();
	for (const BackendLimitRecord& record : _records)
	{
		records.push_back(Json::array({record.key.value, record.limit.value_or(kNoLimit), record.age}));
	}
	std::string bytes;
	Json::to_msgpack(Json::array({kDatagramFormat, kKind, std::move(records)}), bytes);
	return bytes;
}

std::string encodeLimitQuery()
{
	std::string bytes;
	Json::to_msgpack(Json::array({kDatagramFormat, kKind, Json::array(), true}), bytes);
	return bytes;
}

bool isLimitQuery(std::string_view _bytes)
{
	constexpr std::size_t kAsks = 3; ///< Field that reports do not have.
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	return isLimitDatagram(_bytes) && fields.is_array() && fields.size() > kAsks && fields.at(kAsks) == true;
}

bool isLimitDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::LimitReport);
}

std::optional<std::vector<BackendLimitRecord>> decodeLimits(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		// A later format may have more fields at its end, which are ignored.
		if (!fields.is_array() || fields.at(0).get<std::uint64_t>() < kDatagramFormat ||
			fields.at(1).get<unsigned>() != kKind)
		{
			return std::nullopt;
		}
		const Json& encoded = fields.at(2);
		std::vector<BackendLimitRecord> records;
		for (std::size_t index = 0; index < encoded.size() && index < kMaxLimitRecords; ++index)
		{
			records.push_back(decodeRecord(encoded.at(index)));
		}
		return records;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
