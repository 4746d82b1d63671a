// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What one entry knows about configuration, roster and leaving VMs.

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
/// VMs that are leaving or gone. A VM id never comes back, so two views merge by union
/// in any order, and a late or repeated view changes nothing.
struct VmView
{
	std::map<std::string, Micros> leaving; ///< By VM id; the notice that was left when first seen.
	std::set<std::string> gone;

	/// Takes over everything that the other view knows.
	/// @returns whether this view grew.
	bool merge(const VmView& _other);
};

/// What a control hands to an entry. A part that is absent stays as it was.
struct Snapshot
{
	std::shared_ptr<const Config> config;
	std::shared_ptr<const Roster> roster;
	VmView vms;
};

} // namespace beacongate

#endif // BEACONGATE_STATE_FLEETVIEW_H
