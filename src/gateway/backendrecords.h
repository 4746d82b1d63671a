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
#include <vector>

namespace beacongate
{
/// Decodes records and remembers them by their revision; one that makes no sense is logged once and left out.
class BackendRecords
{
public:
	/// @returns the records among a store's items.
	std::vector<BackendRecord> read(const std::map<std::string, KvItem>& _items);

private:
	/// A record as it stood at a revision; none where it could not be read.
	struct Parsed
	{
		std::uint64_t revision = 0;
		std::optional<BackendRecord> record;
	};

	const Parsed& parse(const std::string& _id, const KvItem& _item);

	std::map<std::string, Parsed> m_parsed; ///< By backend server, of the last items that were read.
};

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_BACKENDRECORDS_H
