// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Items and conditional changes of a key-value service, as plain values.

#ifndef BEACONGATE_COORDINATION_KVTYPES_H
#define BEACONGATE_COORDINATION_KVTYPES_H

#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// One item; a revision of 0 means that the key is not there.
struct KvItem
{
	std::string key;
	std::string value;
	std::uint64_t revision = 0;
};

/// The whole content of the store as it was last read, by key.
struct StoreContent
{
	std::uint64_t revision = 0;
	Micros confirmed = kLongAgo;
	std::map<std::string, KvItem> items;
};

/// A page of items.
struct KvPage
{
	std::vector<KvItem> items;
	bool more = false;
	std::uint64_t revision = 0; ///< Of the store.
};

/// What a watch heard.
struct KvEvents
{
	std::vector<KvItem> items; ///< In order; a revision of 0 means that the key is gone.
	bool historyLost = false;
	std::uint64_t revision = 0; ///< Where the next watch goes on.
};

/// A condition: the key was last changed at that revision, or is not there (0).
struct KvCondition
{
	std::string key;
	std::uint64_t revision = 0;
};

/// A change of one key.
struct KvPut
{
	std::string key;
	std::string value;
	std::uint64_t lease = 0; ///< 0 is none.
};

/// All or nothing.
struct KvTransaction
{
	std::vector<KvCondition> conditions;
	std::vector<KvPut> puts;
	std::vector<std::string> removes;
};

/// How a change ended.
enum class KvOutcome
{
	Done,
	ConditionFailed, ///< Nothing was done; the items tell why.
	LeaseGone,       ///< Nothing was done.
	NotDone,         ///< Turned away: nothing was done.
	Unknown,         ///< No answer: it may have been done, or still be done later.
};

/// The answer to a transaction.
struct KvResult
{
	KvOutcome outcome = KvOutcome::Unknown;
	std::uint64_t revision = 0;
	std::vector<KvItem> items; ///< The conditions' keys as they are, where a condition failed.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_KVTYPES_H
