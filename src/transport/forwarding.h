// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Headers that pass from one connection to the next, and those that do not.

#ifndef BEACONGATE_TRANSPORT_FORWARDING_H
#define BEACONGATE_TRANSPORT_FORWARDING_H

#include "transport/httptypes.h"

#include <string_view>

namespace beacongate
{
/// @returns whether two header names, or tokens, are the same but for case.
bool sameHeader(std::string_view _left, std::string_view _right);

/// @returns the headers without those that concern one connection or the body's framing.
HttpHeaders endToEndHeaders(const HttpHeaders& _headers);

/// Appends header lines as they go on the wire.
void appendHeaders(std::string& _bytes, const HttpHeaders& _headers);

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_FORWARDING_H
