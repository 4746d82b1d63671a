// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What changed in the store's content since a revision, so that one gateway's read serves its whole data centre.

#ifndef BEACONGATE_COORDINATION_CONTENTHISTORY_H
#define BEACONGATE_COORDINATION_CONTENTHISTORY_H

#include "coordination/kvtypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace beacongate
{
/// The way from one revision of the content to a later one.
struct ContentUpdate
{
	std::uint64_t since = 0;
	std::uint64_t revision = 0;
	Micros age = kNever;             ///< How long ago that revision was certainly the newest.
	std::uint64_t configVersion = 0; ///< In force at the gateway that says this; 0 is none.
	std::vector<KvItem> items;       ///< New or changed.
	std::vector<KvItem> leftOut;     ///< New or changed and large: without their values.
	std::vector<std::string> removed;
};

/// Remembers which keys went, since the content itself does not tell.
class ContentHistory
{
public:
	/// Removals that are remembered.
	static constexpr std::size_t kRemovals = 1024;
	/// Larger values are left out of updates: many readers at once would fill a small VM's link. A configuration of
	/// some hundred routes passes; 14 gateways that ask for 64 kB at once keep a link of 10 Mbit/s busy for 0.7 s.
	static constexpr std::size_t kValueBytes = 64u << 10;

	/// The content was replaced by a newer one.
	void onReplaced(const StoreContent& _before, const StoreContent& _after);

	/// @returns whether updates from that revision are known in full.
	bool covers(std::uint64_t _since) const;

	/// @returns what changed since a revision that is covered, nothing where that is newer than the content; the
	/// age is left to the caller.
	ContentUpdate updateSince(const StoreContent& _content, std::uint64_t _since) const;

private:
	struct Removal
	{
		std::string key;
		std::uint64_t revision = 0;
	};

	std::deque<Removal> m_removals;
	std::uint64_t m_from = 0; ///< Removals after this revision are all known; 0 before the first content.
};

/// Brings content to an update's revision.
/// @param[in,out] _content At the revision from which the update leads, or later.
void applyUpdate(StoreContent& _content, const ContentUpdate& _update);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CONTENTHISTORY_H
