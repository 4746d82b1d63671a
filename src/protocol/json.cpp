// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/json.h"

namespace beacongate
{
Json parseJson(std::string_view _text, Failure _failure)
{
	try
	{
		return Json::parse(_text);
	}
	catch (const Json::parse_error& error)
	{
		throw Error(_failure, "not JSON, at byte " + std::to_string(error.byte));
	}
}

} // namespace beacongate
