// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/erroranswers.h"

#include "protocol/json.h"

#include <cstdio>

namespace beacongate
{
namespace
{
std::string secondsText(Micros _span)
{
	char text[32];
	std::snprintf(text, sizeof text, "%.3f", static_cast<double>(_span) / static_cast<double>(kSecond));
	return text;
}
} // namespace

HttpAnswer makeErrorAnswer(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter,
						   HttpHeaders _headers)
{
	HttpAnswer answer;
	answer.status = _status;
	answer.headers = std::move(_headers);
	answer.headers.emplace_back("Content-Type", "application/problem+json");
	if (_retryAfter > 0)
	{
		answer.headers.emplace_back("Retry-After", secondsText(_retryAfter));
	}
	answer.body =
		Json{{"type", "beacongate:" + std::string(failureInfo(_failure).type)}, {"detail", _detail}}.dump();
	return answer;
}

} // namespace beacongate
