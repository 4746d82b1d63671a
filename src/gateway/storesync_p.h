// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Constants and helpers shared by the source files of StoreSync.

#ifndef BEACONGATE_GATEWAY_STORESYNC_P_H
#define BEACONGATE_GATEWAY_STORESYNC_P_H

#include "beacongate/types.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <utility>

namespace beacongate
{
/// Longest time for a read while bytes arrive. The content grows with the configuration, and 2 MB need 1.6 s on a
/// link of 10 Mbit/s that callers' answers share. With 0.9 s for any size, 1.1 MB never arrived at 0.5 MB/s.
inline constexpr Micros kMaxReadDuration = 6 * kSecond;
/// Delay before the next relay is asked after one failed.
inline constexpr Micros kNextRelayDelay = 20 * kMillisecond;
/// A read that receives no bytes for this long has failed; the store answers within 10 ms. After a slow answer the
/// span is longer: with a fixed one, a store that answers after a second would never deliver a configuration.
inline constexpr Micros kReadIdleTimeout = 900 * kMillisecond;
inline constexpr unsigned kOk = 200;
inline constexpr unsigned kNotFound = 404; ///< A peer does not know what changed since such an old revision.

/// Runs a handler after a span, unless the timer is cancelled.
template <typename Handler> void after(boost::asio::steady_timer& _timer, Micros _span, Handler _handler)
{
	_timer.expires_after(std::chrono::microseconds(_span));
	_timer.async_wait(
		[handler = std::move(_handler)](const boost::system::error_code& _error)
		{
			if (!_error)
			{
				handler();
			}
		});
}

} // namespace beacongate

#endif // BEACONGATE_GATEWAY_STORESYNC_P_H
