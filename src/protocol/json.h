// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Typed reads from JSON documents. A member that is missing or has the wrong type throws an Error that names its
/// position.

#ifndef BEACONGATE_PROTOCOL_JSON_H
#define BEACONGATE_PROTOCOL_JSON_H

#include "beacongate/errors.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace beacongate
{
using Json = nlohmann::json;

/// Parses JSON text.
/// @throws Error of kind `_failure` where the text is not valid JSON.
Json parseJson(std::string_view _text, Failure _failure);

/// Reads a required member.
/// @param[in] _where Position of `_object` in its document, for the error message.
/// @throws Error of kind `_failure` where the member is missing or has the wrong type.
template <typename Value>
Value readMember(const Json& _object, const char* _name, std::string_view _where, Failure _failure)
{
	const auto it = _object.is_object() ? _object.find(_name) : _object.end();
	if (!_object.is_object() || _object.end() == it)
	{
		throw Error(_failure, std::string(_where) + ": '" + _name + "' is missing");
	}
	try
	{
		return it->template get<Value>();
	}
	catch (const Json::exception&)
	{
		throw Error(_failure, std::string(_where) + ": '" + _name + "' has the wrong type");
	}
}

/// Reads an optional member as readMember() does.
/// @returns `_default` where the member is missing.
template <typename Value>
Value readOr(const Json& _object, const char* _name, Value _default, std::string_view _where, Failure _failure)
{
	if (!_object.is_object() || !_object.contains(_name))
	{
		return _default;
	}
	return readMember<Value>(_object, _name, _where, _failure);
}

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_JSON_H
