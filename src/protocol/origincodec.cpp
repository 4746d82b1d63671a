// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/origincodec.h"

#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
constexpr unsigned kKind = static_cast<unsigned>(DatagramKind::StreamOrigin);

/// Third field of the datagram.
enum class Content : std::uint8_t
{
	Record,
	Query,
	Answer,
};

Json startFields(Content _content)
{
	return Json::array({kDatagramFormat, kKind, static_cast<unsigned>(_content)});
}

/// Encodes each type of message as a list of fields.
struct Encoder
{
	Json operator()(const StreamOriginRecord& _record) const
	{
		Json fields = startFields(Content::Record);
		fields.push_back(_record.stream.value);
		fields.push_back(_record.version.value);
		fields.push_back(_record.lifetime);
		return fields;
	}

	Json operator()(const StreamOriginQuery& _query) const
	{
		Json fields = startFields(Content::Query);
		fields.push_back(_query.id);
		fields.push_back(_query.stream.value);
		fields.push_back(_query.service.value);
		return fields;
	}

	Json operator()(const StreamOriginAnswer& _answer) const
	{
		Json recent = Json::array();
		for (const VersionKey& version : _answer.recentVersions)
		{
			recent.push_back(version.value);
		}
		Json fields = startFields(Content::Answer);
		fields.push_back(_answer.id);
		fields.push_back(_answer.version.has_value());
		fields.push_back(_answer.version.value_or(VersionKey()).value);
		fields.push_back(std::move(recent));
		return fields;
	}
};

/// @throws Json::exception where the field has the wrong type.
template <typename Key> Key decodeKey(const Json& _field)
{
	Key key;
	key.value = _field.get<std::uint64_t>();
	return key;
}

/// @throws Json::exception where a field is missing or has the wrong type.
StreamOriginAnswer decodeAnswer(const Json& _fields)
{
	StreamOriginAnswer answer;
	answer.id = _fields.at(3).get<std::uint64_t>();
	if (_fields.at(4).get<bool>())
	{
		answer.version = decodeKey<VersionKey>(_fields.at(5));
	}
	const Json& recent = _fields.at(6);
	for (std::size_t index = 0; index < std::min(recent.size(), StreamOriginAnswer::kMaxVersions); ++index)
	{
		answer.recentVersions.push_back(decodeKey<VersionKey>(recent.at(index)));
	}
	return answer;
}

/// @returns the message; nothing where its content is unknown.
/// @throws Json::exception where a field is missing or has the wrong type.
std::optional<StreamOriginMessage> decodeFields(const Json& _fields)
{
	switch (_fields.at(2).get<unsigned>())
	{
	case static_cast<unsigned>(Content::Record):
		return StreamOriginRecord{decodeKey<StreamKey>(_fields.at(3)), decodeKey<VersionKey>(_fields.at(4)),
								  _fields.at(5).get<Micros>()};
	case static_cast<unsigned>(Content::Query):
		return StreamOriginQuery{_fields.at(3).get<std::uint64_t>(), decodeKey<StreamKey>(_fields.at(4)),
								 decodeKey<ServiceKey>(_fields.at(5))};
	case static_cast<unsigned>(Content::Answer):
		return decodeAnswer(_fields);
	default:
		return std::nullopt;
	}
}
} // namespace

std::string encodeOrigin(const StreamOriginMessage& _message)
{
	std::string bytes;
	Json::to_msgpack(std::visit(Encoder(), _message), bytes);
	return bytes;
}

bool isOriginDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::StreamOrigin);
}

std::optional<StreamOriginMessage> decodeOrigin(std::string_view _bytes)
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
		return decodeFields(fields);
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
