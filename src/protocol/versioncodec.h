// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The log of software versions as a JSON document in the store.

#ifndef BEACONGATE_PROTOCOL_VERSIONCODEC_H
#define BEACONGATE_PROTOCOL_VERSIONCODEC_H

#include "coordination/versionhistory.h"

#include <optional>
#include <string>

namespace beacongate
{
/// @returns the log as a document.
std::string encodeVersionLog(const VersionLog& _log);

/// @returns the log in a document; nothing if the document is not valid. Members that it does not know are ignored.
std::optional<VersionLog> decodeVersionLog(const std::string& _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_VERSIONCODEC_H
