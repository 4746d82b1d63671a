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
#include <optional>
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
	/// All keys there are, where the sender does not know what went since that revision; what is not among them
	/// went.
	std::optional<std::vector<std::string>> keys;
};

/// Remembers which keys went, since the content itself does not tell. Only what this gateway held itself can be
/// seen to go: to one that comes from a revision in between, it names all keys instead. Without that, a server that
/// came and left between two reads of a relay stayed on the lists of those that had seen it (48 requests of one
/// soak reached such a server up to 8 s after it had left).
class ContentHistory
{
public:
	/// Removals that are remembered.
	static constexpr std::size_t kRemovals = 1024;
	/// Revisions of the content that are remembered: those of half a minute, with a read every 0.5 s.
	static constexpr std::size_t kHeldRevisions = 64;
	/// Larger values are left out of updates: many readers at once would fill a small VM's link. A configuration of
	/// some hundred routes passes; 14 gateways that ask for 64 kB at once keep a link of 10 Mbit/s busy for 0.7 s.
	static constexpr std::size_t kValueBytes = 64u << 10;

	/// The content was replaced by a newer one.
	void onReplaced(const StoreContent& _before, const StoreContent& _after);

	/// @returns whether there are updates from that revision.
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

	bool wasHeld(std::uint64_t _revision) const;

	std::deque<Removal> m_removals;   ///< Of keys that this gateway held.
	std::deque<std::uint64_t> m_held; ///< Revisions of its content, in order.
	std::uint64_t m_from = 0;         ///< What went after this revision is remembered; 0 before the first content.
};

/// Brings content to an update's revision.
/// @param[in,out] _content At the revision from which the update leads, or later.
void applyUpdate(StoreContent& _content, const ContentUpdate& _update);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CONTENTHISTORY_H
