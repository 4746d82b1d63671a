// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Plain types for the items, transactions and watches of a key-value store.

#ifndef BEACONGATE_COORDINATION_KVTYPES_H
#define BEACONGATE_COORDINATION_KVTYPES_H

#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// An item; a revision of 0 means that the key does not exist.
struct KvItem
{
	std::string key;
	std::string value;
	std::uint64_t revision = 0;
};

/// Whole content of the store as last read, by key.
struct StoreContent
{
	std::uint64_t revision = 0;
	/// Steady time at which the content was last known to be the newest.
	Micros confirmed = kLongAgo;
	std::map<std::string, KvItem> items;
};

/// A page of a range read.
struct KvPage
{
	std::vector<KvItem> items;
	bool more = false;          ///< More items follow this page.
	std::uint64_t revision = 0; ///< Revision of the store.
};

/// Events of a watch.
struct KvEvents
{
	std::vector<KvItem> items;  ///< In order; a revision of 0 means that the key was removed.
	bool historyLost = false;   ///< The store no longer has the revisions that the watch asked for.
	std::uint64_t revision = 0; ///< Revision from which the next watch continues.
};

/// A condition: the key was last changed at that revision, or does not exist (0).
struct KvCondition
{
	std::string key;
	std::uint64_t revision = 0;
};

/// Write of one key.
struct KvPut
{
	std::string key;
	std::string value;
	std::uint64_t lease = 0; ///< Store lease that the key is bound to; 0 is none.
};

/// Changes that are applied all together if all conditions hold, and not at all otherwise.
struct KvTransaction
{
	std::vector<KvCondition> conditions;
	std::vector<KvPut> puts;
	std::vector<std::string> removes;
};

/// Outcome of a transaction.
enum class KvOutcome
{
	Done,            ///< All changes were applied.
	ConditionFailed, ///< Nothing was changed; the items show why.
	LeaseGone,       ///< Nothing was changed: the lease does not exist any more.
	NotDone,         ///< The store rejected the transaction: nothing was changed.
	Unknown,         ///< No answer arrived: it may have been applied, or may be applied later.
};

/// Answer to a transaction.
struct KvResult
{
	KvOutcome outcome = KvOutcome::Unknown;
	std::uint64_t revision = 0;
	std::vector<KvItem> items; ///< Present items of the conditions' keys, if a condition failed.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_KVTYPES_H
