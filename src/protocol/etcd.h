// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The published JSON mapping of the etcd v3 API, as far as this project uses it:
/// /v3/kv/range, /v3/kv/txn, /v3/lease/grant and /v3/lease/keepalive.
///
/// Keys and values are base64, 64-bit numbers are text. A control polls; it holds no
/// watch, so that none can be missed (docs/DESIGN.md, "Store").

#ifndef BEACONGATE_PROTOCOL_ETCD_H
#define BEACONGATE_PROTOCOL_ETCD_H

#include "coordination/controlcore.h"

#include <string>
#include <string_view>

namespace beacongate::etcd
{
/// Path and body of one call.
struct Call
{
	std::string path;
	std::string body;
};

Call encode(const StoreGet& _get);
Call encode(const StoreSwap& _swap);
Call encode(const StoreLeaseGrant& _grant);
Call encode(const StoreLeaseRenew& _renew);

/// Reads the answer to a call with status 200.
/// @remarks A body that makes no sense is StoreStatus::Lost: what was asked may have been done.
StoreAnswered decode(const StoreGet& _get, std::string_view _body);
StoreAnswered decode(const StoreSwap& _swap, std::string_view _body);
StoreAnswered decode(const StoreLeaseGrant& _grant, std::string_view _body);
StoreAnswered decode(const StoreLeaseRenew& _renew, std::string_view _body);

} // namespace beacongate::etcd

#endif // BEACONGATE_PROTOCOL_ETCD_H
