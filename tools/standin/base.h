// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What all stand-ins share.

#ifndef BEACONGATE_TOOLS_STANDIN_BASE_H
#define BEACONGATE_TOOLS_STANDIN_BASE_H

#include "transport/httpserver.h"

#include <utility>

namespace beacongate::standin
{
/// Bytes of a request that a stand-in takes.
inline constexpr std::size_t kBodyBytes = 8u << 20;

/// @returns an answer with JSON.
inline HttpAnswer jsonAnswer(std::string _text)
{
	return HttpAnswer{200, {{"Content-Type", "application/json"}}, std::move(_text)};
}

/// @returns handlers that call the stand-in for each request.
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
