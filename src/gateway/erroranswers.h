// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Answers that a gateway gives itself.

#ifndef BEACONGATE_GATEWAY_OWNANSWERS_H
#define BEACONGATE_GATEWAY_OWNANSWERS_H

#include "beacongate/errors.h"
#include "transport/httptypes.h"

#include <string>

namespace beacongate
{
/// Makes a problem document.
/// @param[in] retryAfter When the caller may come again; 0 where nothing is said of it.
HttpAnswer makeOwnAnswer(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter,
						 HttpHeaders _headers = {});

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_OWNANSWERS_H
