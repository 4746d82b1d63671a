// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Implementation of IoLoop, for transport modules that use Asio directly.

#ifndef BEACONGATE_TRANSPORT_IOLOOP_P_H
#define BEACONGATE_TRANSPORT_IOLOOP_P_H

#include <utility> // Must precede asio/awaitable.hpp, which lacks this include in Boost 1.74.

#include <boost/asio.hpp>

#include <optional>
#include <thread>

namespace beacongate
{
struct IoLoopImpl
{
	boost::asio::io_context context{1};
	std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> work;
	std::thread thread;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_IOLOOP_P_H
