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
constexpr std::array<std::string_view, 10> kConnectionHeaders = {
	"Connection",        "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
	"Transfer-Encoding", "Trailer",    "Upgrade",          "Content-Length",
};

/// Answered by this side already.
constexpr std::string_view kExpect = "Expect";

bool concernsConnection(std::string_view name)
{
	const auto same = [name](std::string_view other)
	{
		return sameHeader(name, other);
	};
	return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(), same) || same(kExpect);
}
} // namespace

bool sameHeader(std::string_view left, std::string_view right)
{
	return beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
	std::vector<std::string> named;
	for (const auto& [name, value] : headers)
	{
		if (sameHeader(name, "Connection"))
		{
			for (const auto& token : beast::http::token_list(value))
			{
				named.emplace_back(token.data(), token.size());
			}
		}
	}
	const auto isNamed = [&named](std::string_view name)
	{
		return std::any_of(named.begin(), named.end(),
						   [name](const auto& token) { return sameHeader(name, token); });
	};
	HttpHeaders kept;
	std::copy_if(headers.begin(), headers.end(), std::back_inserter(kept),
				 [&](const auto& header) { return !concernsConnection(header.first) && !isNamed(header.first); });
	return kept;
}

void appendHeaders(std::string& bytes, const HttpHeaders& headers)
{
	for (const auto& [name, value] : headers)
	{
		bytes += name;
		bytes += ": ";
		bytes += value;
		bytes += "\r\n";
	}
}

} // namespace beacongate
