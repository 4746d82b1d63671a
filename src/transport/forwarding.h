// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// End-to-end and hop-by-hop header fields of forwarded HTTP messages.

#ifndef BEACONGATE_TRANSPORT_FORWARDING_H
#define BEACONGATE_TRANSPORT_FORWARDING_H

#include "transport/httptypes.h"

#include <string_view>

namespace beacongate
{
/// @returns true if two header names or tokens are equal, ignoring case.
bool sameHeader(std::string_view _left, std::string_view _right);

/// @returns the headers without hop-by-hop fields, fields that Connection lists, Content-Length and Expect.
HttpHeaders endToEndHeaders(const HttpHeaders& _headers);

/// Appends the headers as HTTP/1.1 header lines.
void appendHeaders(std::string& _bytes, const HttpHeaders& _headers);

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_FORWARDING_H
