// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "state/fleetview.h"

namespace beacongate
{
bool VmView::merge(const VmView& _other)
{
	const std::size_t before = leaving.size() + gone.size();
	leaving.insert(_other.leaving.begin(), _other.leaving.end());
	gone.insert(_other.gone.begin(), _other.gone.end());
	return before != leaving.size() + gone.size();
}

} // namespace beacongate
