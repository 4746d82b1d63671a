// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// State of the processes as JSON, for operators.

#ifndef BEACONGATE_PROTOCOL_STATEDUMP_H
#define BEACONGATE_PROTOCOL_STATEDUMP_H

#include "coordination/controlcore.h"
#include "coordination/entrycore.h"
#include "protocol/json.h"

#include <optional>
#include <string>

namespace beacongate
{
/// @returns everything about an entry: {entry, stats, backends, requests, teams, services, roster}.
Json dumpEntry(const EntryCore& _core, Micros _now);

/// @returns everything about a control.
Json dumpControl(const ControlCore& _core);

/// @returns a request's decisions as rows, or nothing where the entry does not know it.
std::optional<Json> explainRequest(const EntryCore& _core, RequestId _request);

/// Reads the id of a request as requestName() writes it.
/// @throws Error QueryInvalid where it is none.
std::pair<EntryRef, RequestId> readRequestName(const std::string& _name);

/// @returns counters and gauges in the text format that scrapers read.
std::string formatEntryMetrics(const EntryCore& _core);

Json toJson(const EntryReported& _report);

/// @throws Error MalformedRequest
EntryReported readEntryReport(const std::string& _text);

Json toJson(const PeerExchange& _exchange);

/// @throws Error MalformedRequest
PeerExchange readExchange(const std::string& _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_STATEDUMP_H
