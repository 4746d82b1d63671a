// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Error answers that a gateway generates itself.

#ifndef BEACONGATE_GATEWAY_ERRORANSWERS_H
#define BEACONGATE_GATEWAY_ERRORANSWERS_H

#include "beacongate/errors.h"
#include "transport/httptypes.h"

#include <string>

namespace beacongate
{
/// Makes an error answer with a problem document.
/// @param[in] _retryAfter Value of Retry-After; 0 omits the header.
HttpAnswer makeErrorAnswer(unsigned _status, Failure _failure, const std::string& _detail, Micros _retryAfter,
						   HttpHeaders _headers = {});

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_ERRORANSWERS_H
