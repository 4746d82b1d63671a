// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/contentcodec.h"

#include "protocol/json.h"

#include <charconv>

namespace beacongate
{
namespace
{
constexpr std::size_t kContentFields = 3;
constexpr std::size_t kUpdateFields = 8;

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

std::string toBytes(const Json& _fields)
{
	std::string bytes;
	Json::to_msgpack(_fields, bytes);
	return bytes;
}

Json fromBytes(std::string_view _bytes, std::size_t _fieldCount)
{
	Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	return fields.is_array() && fields.size() == _fieldCount ? fields : Json();
}
} // namespace

std::string encodeContent(const StoreContent& _content, Micros _age)
{
	Json items = Json::array();
	for (const auto& [key, item] : _content.items)
	{
		items.push_back(encodeItem(item));
	}
	return toBytes(Json::array({_content.revision, _age, std::move(items)}));
}

std::optional<StoreContent> decodeContent(std::string_view _bytes, Micros _asked)
{
	const Json fields = fromBytes(_bytes, kContentFields);
	if (fields.is_null())
	{
		return std::nullopt;
	}
	try
	{
		StoreContent content;
		content.revision = fields[0].get<std::uint64_t>();
		// The age is counted to when the answer was made, which was after the question was sent.
		content.confirmed = _asked - fields[1].get<Micros>();
		for (const Json& entry : fields[2])
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

std::string encodeUpdate(const ContentUpdate& _update)
{
	return toBytes(Json::array({_update.since, _update.revision, _update.age, _update.configVersion,
								encodeItems(_update.items), encodeItems(_update.leftOut), _update.removed,
								_update.keys ? Json(*_update.keys) : Json()}));
}

std::optional<ContentUpdate> decodeUpdate(std::string_view _bytes)
{
	const Json fields = fromBytes(_bytes, kUpdateFields);
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
		update.items = decodeItems(fields[4]);
		update.leftOut = decodeItems(fields[5]);
		update.removed = fields[6].get<std::vector<std::string>>();
		if (!fields[7].is_null())
		{
			update.keys = fields[7].get<std::vector<std::string>>();
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
	const bool whole = error == std::errc{} && end == _path.data() + _path.size();
	return whole ? std::optional(revision) : std::nullopt;
}

} // namespace beacongate
