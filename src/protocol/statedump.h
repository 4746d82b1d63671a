// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// JSON forms of process state for operators, and of the reports that entries and controls exchange.

#ifndef BEACONGATE_PROTOCOL_STATEDUMP_H
#define BEACONGATE_PROTOCOL_STATEDUMP_H

#include "coordination/controlcore.h"
#include "coordination/entrycore.h"
#include "protocol/json.h"

#include <optional>
#include <string>

namespace beacongate
{
/// @returns an entry's state: {entry, stats, backends, requests, teams, services}.
Json dumpEntry(const EntryCore& _core, Micros _now);

/// @returns the state of a control process.
Json dumpControl(const ControlCore& _core);

/// @returns the decisions on a request as rows; nullopt where the entry does not know the request.
std::optional<Json> explainRequest(const EntryCore& _core, RequestId _request);

/// Parses a request id that requestName() wrote.
/// @throws Error QueryInvalid where the text is not a request id.
std::pair<EntryRef, RequestId> readRequestName(const std::string& _name);

/// @returns an entry's counters and gauges in the Prometheus text format.
std::string formatEntryMetrics(const EntryCore& _core);

/// @returns an entry's report to its control process as JSON.
Json toJson(const EntryReported& _report);

/// Decodes the JSON text of an entry's report.
/// @throws Error MalformedRequest where the text is not JSON, or a member is missing or has the wrong type.
EntryReported readEntryReport(const std::string& _text);

/// @returns an exchange between control processes as JSON.
Json toJson(const PeerExchange& _exchange);

/// Decodes the JSON text of an exchange.
/// @throws Error MalformedRequest where the text is not JSON, or a member is missing or has the wrong type.
PeerExchange readExchange(const std::string& _text);

} // namespace beacongate

#endif // BEACONGATE_PROTOCOL_STATEDUMP_H
