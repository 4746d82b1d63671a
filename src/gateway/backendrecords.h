// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Backend servers' records, decoded once for each change.

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
/// What a store's items say of backend servers.
struct BackendEntries
{
	std::vector<BackendRecord> records;
	std::vector<std::string> unreadable; ///< Ids whose records make no sense.
};

/// Decodes records and remembers them by their revision. One that makes no sense names no server; the others hold.
class BackendRecords
{
public:
	/// Refusals that are logged one by one. Another writer may spoil thousands of records again and again: after
	/// these, each kLoggedEvery-th is logged with the count.
	static constexpr std::uint64_t kLoggedAll = 100;
	static constexpr std::uint64_t kLoggedEvery = 1000;

	/// @returns the records among a store's items.
	BackendEntries read(const std::map<std::string, KvItem>& _items);

	/// @returns changes of records that made no sense, since the start.
	std::uint64_t refusals() const
	{
		return m_refusals;
	}

private:
	/// A record as it stood at a revision; none where it could not be read.
	struct Parsed
	{
		std::uint64_t revision = 0;
		std::optional<BackendRecord> record;
	};

	const Parsed& parse(const std::string& _id, const KvItem& _item);

	/// Where most records tell when their servers started, one that does not was not written by a server. Fleets in
	/// which servers do not tell it are served as well.
	static void leaveOutUnborn(BackendEntries& _entries);
	void onRefused(const std::string& _id, std::string_view _detail);

	std::uint64_t m_refusals = 0;
	std::map<std::string, Parsed> m_parsed; ///< By backend server, of the last items that were read.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_BACKENDRECORDS_H
