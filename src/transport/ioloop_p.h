// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Private part of ioloop.h, for modules that use Asio.

#ifndef BEACONGATE_TRANSPORT_IOLOOP_P_H
#define BEACONGATE_TRANSPORT_IOLOOP_P_H

#include <utility> // Has to stand before asio/awaitable.hpp of Boost 1.74.

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
