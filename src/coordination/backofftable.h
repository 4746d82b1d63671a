// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Backend servers that asked this gateway to send them nothing for a while.

#ifndef BEACONGATE_COORDINATION_BACKOFFTABLE_H
#define BEACONGATE_COORDINATION_BACKOFFTABLE_H

#include "coordination/directory.h"

#include <map>
#include <string>
#include <unordered_map>

namespace beacongate
{
/// What backend servers asked for, by incarnation.
class BackoffTable
{
public:
	/// A backend server asked for nothing more for a span from now on. A shorter one than before changes nothing.
	void onAsked(BackendKey _key, Micros _span, Micros _now);

	/// @returns how much of what a backend server asked for is left, 0 for none.
	Micros left(BackendKey _key, Micros _now) const;

	/// Forgets backend servers that are no longer known.
	void retain(const std::map<std::string, KnownBackend>& _known);

private:
	std::unordered_map<BackendKey, Micros, BackendKeyHash> m_ends;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_BACKOFFTABLE_H
