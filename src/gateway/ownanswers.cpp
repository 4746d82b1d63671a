// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/ownanswers.h"

#include "protocol/json.h"

#include <cstdio>

namespace beacongate
{
namespace
{
std::string secondsText(Micros span)
{
	char text[32];
	std::snprintf(text, sizeof text, "%.3f", static_cast<double>(span) / static_cast<double>(kSecond));
	return text;
}
} // namespace

HttpAnswer makeOwnAnswer(unsigned status, Failure failure, const std::string& detail, Micros retryAfter,
						 HttpHeaders headers)
{
	HttpAnswer answer;
	answer.status = status;
	answer.headers = std::move(headers);
	answer.headers.emplace_back("Content-Type", "application/problem+json");
	if (retryAfter > 0)
	{
		answer.headers.emplace_back("Retry-After", secondsText(retryAfter));
	}
	answer.body = Json{{"type", "beacongate:" + std::string(failureInfo(failure).type)}, {"detail", detail}}.dump();
	return answer;
}

} // namespace beacongate
