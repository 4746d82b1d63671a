// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The message with which gateways tell each other of requests that ran when their backend servers crashed.

#ifndef BEACONGATE_COORDINATION_CRASHREPORT_H
#define BEACONGATE_COORDINATION_CRASHREPORT_H

#include "coordination/crashledger.h"

#include <cstdint>
#include <vector>

namespace beacongate
{
/// Purpose of a CrashReport. The values are part of the wire format.
enum class CrashReportKind : std::uint8_t
{
	Changes, ///< Records that changed recently.
	Query,   ///< No records: asks for all of them if the receiver's digest differs.
	Answer,  ///< All records, in answer to a query. The receiver sends all of its own if its digest still differs.
	Final,   ///< All records, in answer to an Answer.
};

/// A datagram about crashes from one gateway to another.
struct CrashReport
{
	CrashReportKind kind = CrashReportKind::Changes;
	std::uint64_t digest = 0; ///< CrashLedger::digest() of the sender.
	std::vector<CrashRecord> records;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CRASHREPORT_H
