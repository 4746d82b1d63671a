// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Writes an HTML page with plots of one soak.

#ifndef BEACONGATE_TOOLS_SOAK_REPORT_H
#define BEACONGATE_TOOLS_SOAK_REPORT_H

#include "soak/checker.h"

#include <string>
#include <vector>

namespace beacongate::soak
{
/// Writes the injected faults, the latencies and outcomes over time, and the findings.
/// @param[in] _path Path of the HTML file.
void writeReport(const std::string& _path, std::uint64_t _seed, const Observations& _seen,
				 const std::vector<Finding>& _findings);

} // namespace beacongate::soak

#endif // BEACONGATE_TOOLS_SOAK_REPORT_H
