// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/forwarding.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace beacongate
{
namespace beast = boost::beast;

namespace
{
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
	"Connection",        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Transfer-Encoding", "Trailer",    "Upgrade",          "Content-Length",
};

/// Header that is not forwarded, because the gateway answers Expect itself.
constexpr std::string_view kExpect = "Expect";

bool isHopByHop(std::string_view _name)
{
	const auto matches = [_name](std::string_view _other)
	{
		return sameHeader(_name, _other);
	};
	return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), matches) || matches(kExpect);
}
} // namespace

bool sameHeader(std::string_view _left, std::string_view _right)
{
	return beast::iequals({_left.data(), _left.size()}, {_right.data(), _right.size()});
}

HttpHeaders endToEndHeaders(const HttpHeaders& _headers)
{
	std::vector<std::string> connectionTokens;
	for (const auto& [name, value] : _headers)
	{
		if (sameHeader(name, "Connection"))
		{
			for (const auto& token : beast::http::token_list(value))
			{
				connectionTokens.emplace_back(token.data(), token.size());
			}
		}
	}
	const auto isConnectionToken = [&connectionTokens](std::string_view _name)
	{
		return std::any_of(connectionTokens.begin(), connectionTokens.end(),
						   [_name](const auto& _token) { return sameHeader(_name, _token); });
	};
	HttpHeaders endToEnd;
	std::copy_if(_headers.begin(), _headers.end(), std::back_inserter(endToEnd),
				 [&](const auto& _header)
				 { return !isHopByHop(_header.first) && !isConnectionToken(_header.first); });
	return endToEnd;
}

void appendHeaders(std::string& _bytes, const HttpHeaders& _headers)
{
	for (const auto& [name, value] : _headers)
	{
		_bytes += name;
		_bytes += ": ";
		_bytes += value;
		_bytes += "\r\n";
	}
}

} // namespace beacongate
