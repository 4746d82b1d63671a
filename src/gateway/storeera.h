// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Notes the store's era in its answers.

#ifndef BEACONGATE_GATEWAY_STOREERA_H
#define BEACONGATE_GATEWAY_STOREERA_H

#include "gateway/gatewaycontext.h"
#include "platform/storecalls.h"

#include <optional>

namespace beacongate
{
/// Notes the era that an answer of the store names.
inline void noteStoreEra(GatewayContext& _context, const std::optional<HttpAnswer>& _answer)
{
	if (_answer)
	{
		_context.onStoreEra(platform::readEra(_answer));
	}
}

/// Notes the era that an answer of the store names.
/// @param[in] _restores GatewayContext::storeRestores when the call was sent.
/// @returns true if the store was restored since: the answer's result does not hold.
inline bool metRestore(GatewayContext& _context, const std::optional<HttpAnswer>& _answer, std::uint64_t _restores)
{
	noteStoreEra(_context, _answer);
	return _context.storeRestores != _restores;
}

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STOREERA_H
