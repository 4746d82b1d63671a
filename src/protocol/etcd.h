// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Client side of the JSON mapping of the etcd v3 API, limited to the calls that this project uses:
/// /v3/kv/range, /v3/kv/txn, /v3/lease/grant and /v3/lease/keepalive.
///
/// Keys and values are base64, 64-bit numbers are strings. A control process polls and holds no watch, so that no
/// watch event can be missed (docs/DESIGN.md, "Store").

#ifndef BEACONGATE_PROTOCOL_ETCD_H
#define BEACONGATE_PROTOCOL_ETCD_H

#include "coordination/controlcore.h"

#include <string>
#include <string_view>

namespace beacongate::etcd
{
/// HTTP path and body of one store call.
struct Call
{
	std::string path;
	std::string body;
};

/// @returns the HTTP call that carries out a store call.
Call encode(const StoreGet& _get);
Call encode(const StoreSwap& _swap);
Call encode(const StoreLeaseGrant& _grant);
Call encode(const StoreLeaseRenew& _renew);

/// Decodes the answer to a call that returned status 200.
/// @remarks A body that cannot be decoded gives StoreStatus::Lost: the store may have carried out the call.
StoreAnswered decode(const StoreGet& _get, std::string_view _body);
StoreAnswered decode(const StoreSwap& _swap, std::string_view _body);
StoreAnswered decode(const StoreLeaseGrant& _grant, std::string_view _body);
StoreAnswered decode(const StoreLeaseRenew& _renew, std::string_view _body);

} // namespace beacongate::etcd

#endif // BEACONGATE_PROTOCOL_ETCD_H
