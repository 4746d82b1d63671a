// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Plain structs for HTTP messages.

#ifndef BEACONGATE_TRANSPORT_HTTPTYPES_H
#define BEACONGATE_TRANSPORT_HTTPTYPES_H

#include "beacongate/config.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beacongate
{
/// Header names and values in their order in the message.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @returns the value of the first header of that name, ignoring case, or an empty string.
std::string_view findHeader(const HttpHeaders& _headers, std::string_view _name);

/// A complete request.
struct HttpRequest
{
	std::string method;
	std::string target;
	HttpHeaders headers;
	std::string body;
};

/// A complete answer.
struct HttpAnswer
{
	unsigned status = 200;
	HttpHeaders headers;
	std::string body;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPTYPES_H
