// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A hash by which two gateways find out that they hold the same content of the store.

#ifndef BEACONGATE_GATEWAY_CONTENTFINGERPRINT_H
#define BEACONGATE_GATEWAY_CONTENTFINGERPRINT_H

#include "coordination/kvtypes.h"

#include <cstdint>

namespace beacongate
{
/// Hashes the part of the content by which gateways route: the configuration, the backend servers, the members and
/// the holder of the duties.
/// @returns a value that is equal if these are equal, whatever the revision at which they were read. The duty
/// holder's own records (usage counts, levels of quotas, fencing token) change several times a second and are not
/// included.
std::uint64_t fingerprintOf(const StoreContent& _content);

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_CONTENTFINGERPRINT_H
