// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Order of the store's revisions over its restores.

#ifndef BEACONGATE_COORDINATION_STOREREVISION_H
#define BEACONGATE_COORDINATION_STOREREVISION_H

#include <cstdint>
#include <string>

namespace beacongate
{
/// A store that is restored from a copy loses what was written since, gives the same revisions out again, and
/// begins a new era. So a number that the store gives names a state only together with its era, and a later era is
/// newer whatever its revisions are. Everywhere outside the calls to the store, a revision is one number that holds
/// both: the era above the store's own revision. Such numbers are ordered over eras, and what is cached for one is
/// not found in a later era. A store that names no era has revisions as it gives them.
class StoreRevision
{
public:
	/// Bits of the store's own revision.
	static constexpr unsigned kRevisionBits = 40;

	/// @returns the number of a revision that the store gave in an era; 0 for revision 0, which stands for a
	/// missing key.
	/// @param[in] _era Era as the store names it; 0 if it names none.
	static constexpr std::uint64_t make(std::uint64_t _era, std::uint64_t _storeRevision)
	{
		return _storeRevision == 0 ? 0 : (_era << kRevisionBits) | (_storeRevision & kRevisionMask);
	}

	/// @returns the number by which the store knows a revision.
	static constexpr std::uint64_t inStore(std::uint64_t _revision)
	{
		return _revision & kRevisionMask;
	}

	/// @returns the era of a revision, 0 if the store named none.
	static constexpr std::uint64_t eraOf(std::uint64_t _revision)
	{
		return _revision >> kRevisionBits;
	}

	/// @returns the text for logs: the era, a dot, and the store's own revision.
	static std::string text(std::uint64_t _revision)
	{
		return std::to_string(eraOf(_revision)) + '.' + std::to_string(inStore(_revision));
	}

private:
	static constexpr std::uint64_t kRevisionMask = (std::uint64_t{1} << kRevisionBits) - 1;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STOREREVISION_H
