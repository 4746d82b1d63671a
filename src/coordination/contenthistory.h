// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Tracks what changed in the store's content since a revision, so that one gateway's read serves its whole
/// data centre.

#ifndef BEACONGATE_COORDINATION_CONTENTHISTORY_H
#define BEACONGATE_COORDINATION_CONTENTHISTORY_H

#include "coordination/kvtypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace beacongate
{
/// Changes from one revision of the content to a later one.
struct ContentUpdate
{
	std::uint64_t since = 0;
	std::uint64_t revision = 0;
	Micros age = kNever;             ///< Time since the revision was certainly the newest.
	std::uint64_t configVersion = 0; ///< Version in force at the sender; 0 is none.
	std::vector<KvItem> items;       ///< New or changed items.
	std::vector<KvItem> leftOut;     ///< New or changed items with large values, which are omitted.
	std::vector<std::string> removed;
	/// All present keys, if the sender does not know what was removed since that revision; all other keys were
	/// removed.
	std::optional<std::vector<std::string>> keys;
};

/// Selects what updates carry.
struct UpdateFilter
{
	/// @returns true if receivers do not need a key: updates do not mention it. May be empty.
	std::function<bool(const std::string& _key)> isPrivate;
	/// @returns true if an update may carry a value that is larger than ContentHistory::kValueBytes. May be empty.
	std::function<bool(const KvItem& _item)> mayCarry;
};

/// Remembers which keys were removed, since the content itself does not show it. A gateway sees only the
/// removal of keys that it held itself; for a revision that it never held, an update lists all keys instead.
/// Without that, a server that came and left between two reads of a relay stayed on the lists of the gateways
/// that had seen it (48 requests of one soak reached such a server up to 8 s after it had left).
class ContentHistory
{
public:
	/// Number of removals that are remembered.
	static constexpr std::size_t kRemovals = 1024;
	/// Number of revisions that are remembered: half a minute with a read every 0.5 s.
	static constexpr std::size_t kHeldRevisions = 64;
	/// Largest value in an update, in bytes. Larger values are omitted, since many readers at once would
	/// saturate the link of a small VM. A configuration of some hundred routes fits; 14 gateways that request
	/// 64 kB at once keep a link of 10 Mbit/s busy for 0.7 s.
	static constexpr std::size_t kValueBytes = 64u << 10;

	/// Notes that the content was replaced by a newer one.
	void onReplaced(const StoreContent& _before, const StoreContent& _after);

	/// Notes that the content was updated in place.
	/// @param[in] _removed Keys that it held before.
	void onUpdated(const std::vector<std::string>& _removed, std::uint64_t _revision);

	/// @returns true if updates from that revision can be given.
	bool covers(std::uint64_t _since) const;

	/// @returns the changes since a covered revision, none if that revision is newer than the content; the age
	/// is set by the caller.
	ContentUpdate updateSince(const StoreContent& _content, std::uint64_t _since,
							  const UpdateFilter& _filter = {}) const;

private:
	struct Removal
	{
		std::string key;
		std::uint64_t revision = 0;
	};

	bool wasHeld(std::uint64_t _revision) const;

	std::deque<Removal> m_removals;   ///< Removals of keys that this gateway held.
	std::deque<std::uint64_t> m_held; ///< Revisions of this gateway's content, in order.
	std::uint64_t m_coveredSince = 0; ///< Removals after this revision are remembered; 0 before the first content.
};

/// What an update changed.
struct AppliedUpdate
{
	std::vector<std::string> removed;   ///< Keys that were held before and are gone.
	std::vector<std::string> changed;   ///< Keys that are new or have another value.
	std::vector<std::string> rewritten; ///< Keys that were written again with the same value.
};

/// Applies an update to content.
/// @param[in,out] _content Content at the revision from which the update starts, or at a later one.
AppliedUpdate applyUpdate(StoreContent& _content, const ContentUpdate& _update);

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_CONTENTHISTORY_H
