// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Helpers that the stand-ins share.

#ifndef BEACONGATE_TOOLS_STANDIN_BASE_H
#define BEACONGATE_TOOLS_STANDIN_BASE_H

#include "transport/httpserver.h"

#include <utility>

namespace beacongate::standin
{
/// Maximum body size of a request to a stand-in, in bytes.
inline constexpr std::size_t kBodyBytes = 8u << 20;

/// @returns a 200 response with a JSON body.
inline HttpAnswer jsonAnswer(std::string _text)
{
	return HttpAnswer{200, {{"Content-Type", "application/json"}}, std::move(_text)};
}

/// @returns server handlers that pass each request to the stand-in, ignore disconnects and answer failures with
/// their HTTP status.
/// @param[in] _onRequest Called with the exchange and the request.
template <typename OnRequest> HttpServerHandlers handlersFor(OnRequest _onRequest)
{
	return HttpServerHandlers{std::move(_onRequest), [](ExchangeId) {},
							  [](Failure _failure, const std::string& _detail)
							  {
								  return HttpAnswer{failureInfo(_failure).status, {}, _detail};
							  }};
}

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_BASE_H
