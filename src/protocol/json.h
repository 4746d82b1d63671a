// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Checked reads from JSON documents; a wrong shape is an Error that names the place.

#ifndef BEACONGATE_PROTOCOL_JSON_H
#define BEACONGATE_PROTOCOL_JSON_H

#include "beacongate/errors.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace beacongate
{
using Json = nlohmann::json;

/// Parses a text.
/// @param[in] _failure What to throw where the text is no JSON.
Json parseJson(std::string_view _text, Failure _failure);

/// Reads a member.
/// @param[in] _where Place of `_object` in its document, for the error's text.
/// @throws Error of kind `_failure` where the member is absent or of another type.
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

/// As readMember(), with a value for an absent member.
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
