// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// View of configuration, roster and leaving VMs that a control passes to an entry.

#ifndef BEACONGATE_STATE_FLEETVIEW_H
#define BEACONGATE_STATE_FLEETVIEW_H

#include "beacongate/config.h"
#include "state/roster.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace beacongate
{
/// VMs that are leaving or gone. A VM id is never reused, so views merge by union in any order, and a
/// late or repeated view changes nothing.
struct VmView
{
	std::map<std::string, Micros> leaving; ///< Remaining termination notice when first seen, by VM id.
	std::set<std::string> gone;

	/// Adds the VMs of another view.
	/// @returns true if this view gained a VM.
	bool merge(const VmView& _other);
};

/// Snapshot that a control passes to an entry. A null pointer leaves that part unchanged.
struct Snapshot
{
	std::shared_ptr<const Config> config;
	std::shared_ptr<const Roster> roster;
	VmView vms;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_FLEETVIEW_H
