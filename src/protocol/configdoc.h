// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The configuration document: its JSON form, validation, version and change history.
/// docs/config.schema.json describes the document for people and editors; the checks here are authoritative.

#ifndef BEACONGATE_PROTOCOL_CONFIGDOC_H
#define BEACONGATE_PROTOCOL_CONFIGDOC_H

#include "beacongate/config.h"
#include "protocol/json.h"

#include <string>
#include <string_view>

namespace beacongate
{
/// Parses and validates a configuration document.
/// @throws Error ConfigInvalid with the position in the document and the cause.
Config readConfig(const Json& _document);

/// Parses "IP:port".
/// @param[in] _where Setting or position in a document that the error names.
/// @throws Error of kind `_failure` where the text is not an IP address and a port.
Address readAddress(std::string_view _text, std::string_view _where, Failure _failure);

/// @returns the address as "IP:port".
std::string toString(const Address& _address);

/// @returns true if the document's history contains the change id.
bool hasChange(const Json& _document, std::string_view _changeId);

/// Raises the document's version by one and appends the change id to its history, which keeps the newest
/// limits::kConfigHistory ids.
void recordChange(Json& _document, std::string_view _changeId);

/// @returns the document's version; 0 where it has none.
std::uint64_t versionOf(const Json& _document);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_CONFIGDOC_H
