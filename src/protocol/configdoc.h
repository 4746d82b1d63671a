// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The configuration document: JSON form, checks, and changes to it.
/// The schema for people and editors is docs/config.schema.json; the checks here are what counts.

#ifndef BEACONGATE_PROTOCOL_CONFIGDOC_H
#define BEACONGATE_PROTOCOL_CONFIGDOC_H

#include "beacongate/config.h"
#include "protocol/json.h"

#include <string>
#include <string_view>

namespace beacongate
{
/// Reads and checks a document.
/// @throws Error ConfigInvalid with the place and the cause.
Config readConfig(const Json& _document);

/// @returns an Address from "IP:port".
/// @throws Error of kind `_failure`, where the text is no IP number and port.
Address readAddress(std::string_view _text, std::string_view _where, Failure _failure);

/// @returns "IP:port".
std::string toString(const Address& _address);

/// @returns whether the document's history holds the change id.
bool hasChange(const Json& _document, std::string_view _changeId);

/// Raises the version by one and notes the change id in the history.
void recordChange(Json& _document, std::string_view _changeId);

/// @returns the document's version, 0 where there is none.
std::uint64_t versionOf(const Json& _document);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_CONFIGDOC_H
