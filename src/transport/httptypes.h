// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP messages as plain values.

#ifndef BEACONGATE_TRANSPORT_HTTPTYPES_H
#define BEACONGATE_TRANSPORT_HTTPTYPES_H

#include "beacongate/config.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beacongate
{
/// Names and values, in order.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// @returns the value of a header, compared without case, or an empty text.
std::string_view findHeader(const HttpHeaders& _headers, std::string_view _name);

/// A request that arrived whole.
struct HttpRequest
{
	std::string method;
	std::string target;
	HttpHeaders headers;
	std::string body;
};

/// A whole answer.
struct HttpAnswer
{
	unsigned status = 200;
	HttpHeaders headers;
	std::string body;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPTYPES_H
