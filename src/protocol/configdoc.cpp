// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/configdoc.h"

#include "beacongate/limits.h"

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <set>

namespace beacongate
{
namespace
{
constexpr double kMaxWeight = 1e6;
constexpr std::uint32_t kMaxSlots = 4096;
constexpr std::uint32_t kMaxQueued = 1'000'000;
constexpr Failure kInvalid = Failure::ConfigInvalid;

[[noreturn]] void reject(const std::string& _where, const std::string& _what)
{
	throw Error(kInvalid, _where + ": " + _what);
}

void checkMembers(const Json& _object, std::initializer_list<const char*> _allowed, const std::string& _where)
{
	if (!_object.is_object())
	{
		reject(_where, "has to be an object");
	}
	for (const auto& item : _object.items())
	{
		const std::string& name = item.key();
		const auto isName = [&](const char* _other)
		{
			return name == _other;
		};
		if (std::none_of(_allowed.begin(), _allowed.end(), isName))
		{
			reject(_where, "'" + name + "' is not a known field");
		}
	}
}

const Json& readList(const Json& _document, const char* _name)
{
	const auto it = _document.find(_name);
	if (_document.end() == it || !it->is_array())
	{
		reject("document", std::string("'") + _name + "' has to be a list");
	}
	return *it;
}

std::string readName(const Json& _object, const char* _member, const std::string& _where)
{
	auto name = readMember<std::string>(_object, _member, _where, kInvalid);
	const auto isNameChar = [](char _c)
	{
		return std::isalnum(static_cast<unsigned char>(_c)) || '-' == _c || '_' == _c || '.' == _c;
	};
	if (name.empty() || name.size() > 64 || !std::all_of(name.begin(), name.end(), isNameChar))
	{
		reject(_where, std::string("'") + _member + "' has to be 1 to 64 letters, digits, '-', '_' or '.'");
	}
	return name;
}

void checkUnique(std::set<std::string>& _seen, const std::string& _name, const std::string& _where)
{
	if (!_seen.insert(_name).second)
	{
		reject(_where, "'" + _name + "' is used twice");
	}
}

std::uint32_t readCount(const Json& _object, const char* _member, std::uint32_t _default, std::uint32_t _max,
						const std::string& _where)
{
	const auto value = readOr<std::int64_t>(_object, _member, _default, _where, kInvalid);
	if (value < 1 || value > _max)
	{
		reject(_where, std::string("'") + _member + "' has to be 1 to " + std::to_string(_max));
	}
	return static_cast<std::uint32_t>(value);
}

TeamConfig readTeam(const Json& _object, const std::string& _where)
{
	checkMembers(_object, {"name", "token", "weight", "maxQueued"}, _where);
	TeamConfig team;
	team.name = readName(_object, "name", _where);
	team.token = readMember<std::string>(_object, "token", _where, kInvalid);
	if (team.token.empty())
	{
		reject(_where, "'token' is empty");
	}
	team.weight = readOr<double>(_object, "weight", 1.0, _where, kInvalid);
	if (!(team.weight > 0.0 && team.weight <= kMaxWeight))
	{
		reject(_where, "'weight' has to be above 0 and at most 1000000");
	}
	team.maxQueued = readCount(_object, "maxQueued", limits::kDefaultTeamQueue, kMaxQueued, _where);
	return team;
}

ServiceConfig readService(const Json& _object, const std::string& _where)
{
	checkMembers(_object, {"name", "kind", "repeatable", "targetFirstTokenMs"}, _where);
	ServiceConfig service;
	service.name = readName(_object, "name", _where);
	const auto kind = readMember<std::string>(_object, "kind", _where, kInvalid);
	if ("model" != kind && "plain" != kind)
	{
		reject(_where, "'kind' has to be \"model\" or \"plain\"");
	}
	service.kind = "model" == kind ? ServiceKind::Model : ServiceKind::Plain;
	const bool isModel = ServiceKind::Model == service.kind;
	service.repeatable = readOr<bool>(_object, "repeatable", isModel, _where, kInvalid);
	if (isModel && !service.repeatable)
	{
		reject(_where, "a model is always repeatable");
	}
	service.targetFirstToken = readCount(_object, "targetFirstTokenMs", 1500, 600'000, _where) * kMillisecond;
	return service;
}

BackendConfig readBackend(const Json& _object, const std::string& _where)
{
	checkMembers(_object, {"id", "service", "address", "vm", "dataCentre", "slots", "drained", "checksFencing"},
				 _where);
	BackendConfig backend;
	backend.id = readName(_object, "id", _where);
	backend.service = readName(_object, "service", _where);
	const auto address = readMember<std::string>(_object, "address", _where, kInvalid);
	backend.address = readAddress(address, _where, kInvalid);
	backend.vm = readName(_object, "vm", _where);
	backend.dataCentre = readName(_object, "dataCentre", _where);
	backend.slots = readCount(_object, "slots", 8, kMaxSlots, _where);
	backend.drained = readOr<bool>(_object, "drained", false, _where, kInvalid);
	backend.checksFencing = readOr<bool>(_object, "checksFencing", false, _where, kInvalid);
	return backend;
}

std::string elementPath(const char* _list, std::size_t _index)
{
	return std::string(_list) + "[" + std::to_string(_index) + "]";
}
} // namespace

Config readConfig(const Json& _document)
{
	checkMembers(_document, {"version", "teams", "services", "backends", "history"}, "document");
	Config config;
	config.version = readMember<std::uint64_t>(_document, "version", "document", kInvalid);
	if (0 == config.version)
	{
		reject("document", "'version' has to be at least 1");
	}
	std::set<std::string> teams;
	std::set<std::string> tokens;
	for (const Json& item : readList(_document, "teams"))
	{
		const std::string where = elementPath("teams", config.teams.size());
		config.teams.push_back(readTeam(item, where));
		checkUnique(teams, config.teams.back().name, where);
		checkUnique(tokens, config.teams.back().token, where);
	}
	std::set<std::string> services;
	for (const Json& item : readList(_document, "services"))
	{
		const std::string where = elementPath("services", config.services.size());
		config.services.push_back(readService(item, where));
		checkUnique(services, config.services.back().name, where);
	}
	std::set<std::string> backends;
	for (const Json& item : readList(_document, "backends"))
	{
		const std::string where = elementPath("backends", config.backends.size());
		config.backends.push_back(readBackend(item, where));
		checkUnique(backends, config.backends.back().id, where);
		if (!services.contains(config.backends.back().service))
		{
			reject(where, "service '" + config.backends.back().service + "' is not in 'services'");
		}
	}
	return config;
}

Address readAddress(std::string_view _text, std::string_view _where, Failure _failure)
{
	const std::size_t colon = _text.rfind(':');
	Address address;
	if (std::string_view::npos != colon)
	{
		address.host = std::string(_text.substr(0, colon));
		const std::string_view digits = _text.substr(colon + 1);
		const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
		const bool isPortValid = std::errc{} == error && digits.data() + digits.size() == end;
		const auto isAddressChar = [](char _c)
		{
			return std::isxdigit(static_cast<unsigned char>(_c)) || '.' == _c || ':' == _c;
		};
		const bool isHostValid =
			!address.host.empty() && std::all_of(address.host.begin(), address.host.end(), isAddressChar);
		if (isPortValid && isHostValid)
		{
			return address;
		}
	}
	throw Error(_failure,
				std::string(_where) + ": '" + std::string(_text) + "' is not an IP address and port (IP:port)");
}

std::string toString(const Address& _address)
{
	return _address.host + ':' + std::to_string(_address.port);
}

bool hasChange(const Json& _document, std::string_view _changeId)
{
	const auto history = _document.find("history");
	if (_document.end() == history || !history->is_array())
	{
		return false;
	}
	return std::any_of(history->begin(), history->end(),
					   [&](const Json& _item)
					   { return _item.is_string() && _item.get_ref<const std::string&>() == _changeId; });
}

void recordChange(Json& _document, std::string_view _changeId)
{
	_document["version"] = versionOf(_document) + 1;
	Json& history = _document["history"];
	if (!history.is_array())
	{
		history = Json::array();
	}
	history.push_back(std::string(_changeId));
	while (history.size() > limits::kConfigHistory)
	{
		history.erase(history.begin());
	}
}

std::uint64_t versionOf(const Json& _document)
{
	return _document.is_object() ? _document.value("version", std::uint64_t{0}) : 0;
}

} // namespace beacongate
