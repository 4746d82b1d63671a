// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decodes the records of backend servers, once per change.

#ifndef BEACONGATE_GATEWAY_BACKENDRECORDS_H
#define BEACONGATE_GATEWAY_BACKENDRECORDS_H

#include "beacongate/routing.h"
#include "coordination/kvtypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beacongate
{
/// The backend servers among the items of the store.
struct BackendEntries
{
	std::vector<BackendRecord> records;
	std::vector<std::string> unreadable; ///< Ids whose records are invalid.
};

/// Decodes records and caches them by their revision. An invalid record is ignored; the others stay valid.
class BackendRecords
{
public:
	/// Refusals that are logged one by one; after these, every kRefusalLogInterval-th is logged with the count.
	/// Another writer may overwrite thousands of records with invalid ones again and again.
	static constexpr std::uint64_t kMaxRefusalsLogged = 100;
	static constexpr std::uint64_t kRefusalLogInterval = 1000;

	/// @returns the records among the items of the store.
	BackendEntries read(const std::map<std::string, KvItem>& _items);

	/// @returns the number of changes to an invalid record since the start.
	std::uint64_t refusals() const
	{
		return m_refusals;
	}

private:
	/// A record at a revision; empty if it could not be decoded.
	struct Parsed
	{
		std::uint64_t revision = 0;
		std::optional<BackendRecord> record;
	};

	const Parsed& parse(const std::string& _id, const KvItem& _item);

	/// If most records give their server's start time, excludes those that do not, since no server wrote them.
	/// Fleets whose servers give no start time are served as well.
	static void excludeWithoutStartTime(BackendEntries& _entries);
	void onRefused(const std::string& _id, std::string_view _detail);

	std::uint64_t m_refusals = 0;
	std::map<std::string, Parsed> m_parsed; ///< Decoded records of the last items read, by backend server id.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_BACKENDRECORDS_H
