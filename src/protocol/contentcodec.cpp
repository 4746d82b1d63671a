// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/contentcodec.h"

#include "beacongate/limits.h"
#include "protocol/compression.h"
#include "protocol/json.h"

#include <charconv>

namespace beacongate
{
namespace
{
constexpr std::size_t kContentFieldCount = 3;
constexpr std::size_t kUpdateFieldCount = 5;

Json encodeItem(const KvItem& _item)
{
	return Json::array({_item.key, _item.value, _item.revision});
}

Json encodeItems(const std::vector<KvItem>& _items)
{
	Json list = Json::array();
	for (const KvItem& item : _items)
	{
		list.push_back(encodeItem(item));
	}
	return list;
}

KvItem decodeItem(const Json& _entry)
{
	return {_entry.at(0).get<std::string>(), _entry.at(1).get<std::string>(), _entry.at(2).get<std::uint64_t>()};
}

std::vector<KvItem> decodeItems(const Json& _list)
{
	std::vector<KvItem> items;
	for (const Json& entry : _list)
	{
		items.push_back(decodeItem(entry));
	}
	return items;
}

std::string toMsgpack(const Json& _fields)
{
	std::string bytes;
	Json::to_msgpack(_fields, bytes);
	return bytes;
}

Json fromMsgpack(std::string_view _bytes, std::size_t _fieldCount)
{
	Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	return fields.is_array() && fields.size() == _fieldCount ? fields : Json();
}

/// @returns the content of a compressed body; null where it cannot be decoded.
/// @throws Json::exception where the field is not a string.
Json decodeBody(const Json& _field)
{
	const auto bytes = decompress(_field.get_ref<const std::string&>(), limits::kSnapshotBytes);
	return bytes ? Json::from_msgpack(bytes->begin(), bytes->end(), true, false) : Json();
}
} // namespace

std::string encodeContentBody(const StoreContent& _content)
{
	Json items = Json::array();
	for (const auto& [key, item] : _content.items)
	{
		items.push_back(encodeItem(item));
	}
	return compress(toMsgpack(items));
}

std::string encodeContent(std::uint64_t _revision, Micros _age, const std::string& _body)
{
	return toMsgpack(Json::array({_revision, _age, _body}));
}

std::optional<StoreContent> decodeContent(std::string_view _bytes, Micros _requestTime)
{
	const Json fields = fromMsgpack(_bytes, kContentFieldCount);
	if (fields.is_null())
	{
		return std::nullopt;
	}
	try
	{
		StoreContent content;
		content.revision = fields[0].get<std::uint64_t>();
		// The age was measured when the answer was built, which is after the request was sent. Counting it back
		// from the request makes the confirmation time too early, never too late.
		content.confirmed = _requestTime - fields[1].get<Micros>();
		const Json items = decodeBody(fields[2]);
		if (!items.is_array())
		{
			return std::nullopt;
		}
		for (const Json& entry : items)
		{
			KvItem item = decodeItem(entry);
			content.items[item.key] = std::move(item);
		}
		return content;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

std::string encodeUpdateBody(const ContentUpdate& _update)
{
	return compress(toMsgpack(Json::array({encodeItems(_update.items), encodeItems(_update.leftOut),
										   _update.removed, _update.keys ? Json(*_update.keys) : Json()})));
}

std::string encodeUpdate(const UpdateHeader& _head, const std::string& _body)
{
	return toMsgpack(Json::array({_head.since, _head.revision, _head.age, _head.configVersion, _body}));
}

std::optional<ContentUpdate> decodeUpdate(std::string_view _bytes)
{
	const Json fields = fromMsgpack(_bytes, kUpdateFieldCount);
	if (fields.is_null())
	{
		return std::nullopt;
	}
	try
	{
		ContentUpdate update;
		update.since = fields[0].get<std::uint64_t>();
		update.revision = fields[1].get<std::uint64_t>();
		update.age = fields[2].get<Micros>();
		update.configVersion = fields[3].get<std::uint64_t>();
		const Json body = decodeBody(fields[4]);
		update.items = decodeItems(body.at(0));
		update.leftOut = decodeItems(body.at(1));
		update.removed = body.at(2).get<std::vector<std::string>>();
		if (!body.at(3).is_null())
		{
			update.keys = body.at(3).get<std::vector<std::string>>();
		}
		return update;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

std::optional<std::uint64_t> readUpdatePath(std::string_view _path)
{
	if (_path.substr(0, kUpdatePath.size()) != kUpdatePath)
	{
		return std::nullopt;
	}
	_path.remove_prefix(kUpdatePath.size());
	std::uint64_t revision = 0;
	const auto [end, error] = std::from_chars(_path.data(), _path.data() + _path.size(), revision);
	const bool isNumber = error == std::errc{} && end == _path.data() + _path.size();
	return isNumber ? std::optional(revision) : std::nullopt;
}

} // namespace beacongate
