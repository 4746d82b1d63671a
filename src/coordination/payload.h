// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Content of a request that is sent to a backend server.

#ifndef BEACONGATE_COORDINATION_PAYLOAD_H
#define BEACONGATE_COORDINATION_PAYLOAD_H

#include "beacongate/config.h"

#include <cstdint>
#include <string>

namespace beacongate
{
/// Part of a request that is forwarded to the backend server unchanged.
struct CallPayload
{
	ServiceKind kind = ServiceKind::Plain;
	std::string method;
	std::string path; ///< Path on the backend server.
	std::string contentType;
	std::string body;
	std::string prompt;          ///< Model: prompt text.
	std::uint32_t maxTokens = 0; ///< Model: largest number of tokens to generate.
	std::string idempotencyKey;  ///< As given by the caller, for backend servers that use it.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_PAYLOAD_H
