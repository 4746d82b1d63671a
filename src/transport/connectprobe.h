// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Finds out whether a process listens at an address.

#ifndef BEACONGATE_TRANSPORT_CONNECTPROBE_H
#define BEACONGATE_TRANSPORT_CONNECTPROBE_H

#include "beacongate/config.h"
#include "beacongate/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace beacongate
{
/// Result of an attempt to connect.
enum class ProbeResult
{
	Accepted,    ///< A process listens there.
	Refused,     ///< The VM answered that no process listens there.
	Unreachable, ///< No answer in time, or the network reported an error.
};

/// @returns the name used in logs.
constexpr std::string_view toString(ProbeResult _result)
{
	switch (_result)
	{
	case ProbeResult::Accepted:
		return "accepted";
	case ProbeResult::Refused:
		return "refused";
	case ProbeResult::Unreachable:
		return "unreachable";
	}
	return "unreachable";
}

/// Opens a connection, closes it at once, and reports what happened.
/// @param[in] _timeout Time after which the result is Unreachable.
/// @param[in] _done Receives the result; it is never called from inside this function.
void probeConnection(boost::asio::io_context& _context, const Address& _address, Micros _timeout,
					 std::function<void(ProbeResult)> _done);

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_CONNECTPROBE_H
