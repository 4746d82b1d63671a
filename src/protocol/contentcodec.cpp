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
constexpr std::size_t kUpdateFields = 7;

Json encodeItem(const KvItem& item)
{
	return Json::array({item.key, item.value, item.revision});
}

Json encodeItems(const std::vector<KvItem>& items)
{
	Json list = Json::array();
	for (const KvItem& item : items)
	{
		list.push_back(encodeItem(item));
	}
	return list;
}

KvItem decodeItem(const Json& entry)
{
	return {entry.at(0).get<std::string>(), entry.at(1).get<std::string>(), entry.at(2).get<std::uint64_t>()};
}

std::vector<KvItem> decodeItems(const Json& list)
{
	std::vector<KvItem> items;
	for (const Json& entry : list)
	{
		items.push_back(decodeItem(entry));
	}
	return items;
}

std::string toBytes(const Json& fields)
{
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	return bytes;
}

Json fromBytes(std::string_view bytes, std::size_t fieldCount)
{
	Json fields = Json::from_msgpack(bytes.begin(), bytes.end(), true, false);
	return fields.is_array() && fields.size() == fieldCount ? fields : Json();
}
} // namespace

std::string encodeContent(const StoreContent& content, Micros age)
{
	Json items = Json::array();
	for (const auto& [key, item] : content.items)
	{
		items.push_back(encodeItem(item));
	}
	return toBytes(Json::array({content.revision, age, std::move(items)}));
}

std::optional<StoreContent> decodeContent(std::string_view bytes, Micros asked)
{
	const Json fields = fromBytes(bytes, kContentFields);
	if (fields.is_null())
	{
		return std::nullopt;
	}
	try
	{
		StoreContent content;
		content.revision = fields[0].get<std::uint64_t>();
		// The age is counted to when the answer was made, which was after the question was sent.
		content.confirmed = asked - fields[1].get<Micros>();
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

std::string encodeUpdate(const ContentUpdate& update)
{
	return toBytes(Json::array({update.since, update.revision, update.age, update.configVersion,
								encodeItems(update.items), encodeItems(update.leftOut), update.removed}));
}

std::optional<ContentUpdate> decodeUpdate(std::string_view bytes)
{
	const Json fields = fromBytes(bytes, kUpdateFields);
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
		return update;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

std::optional<std::uint64_t> readUpdatePath(std::string_view path)
{
	if (path.substr(0, kUpdatePath.size()) != kUpdatePath)
	{
		return std::nullopt;
	}
	path.remove_prefix(kUpdatePath.size());
	std::uint64_t revision = 0;
	const auto [end, error] = std::from_chars(path.data(), path.data() + path.size(), revision);
	const bool whole = error == std::errc{} && end == path.data() + path.size();
	return whole ? std::optional(revision) : std::nullopt;
}

} // namespace beacongate
