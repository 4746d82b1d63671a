// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Thread for network I/O; this header does not include Asio.

#ifndef BEACONGATE_TRANSPORT_IOLOOP_H
#define BEACONGATE_TRANSPORT_IOLOOP_H

#include "beacongate/types.h"

#include <functional>
#include <memory>

namespace beacongate
{
struct IoLoopImpl;

/// Runs one Asio io_context on one thread.
class IoLoop
{
public:
	IoLoop();
	~IoLoop();
	IoLoop(const IoLoop&) = delete;
	IoLoop& operator=(const IoLoop&) = delete;

	/// Starts the thread.
	void init();

	/// Stops and joins the thread; pending work does not run.
	void shutdown();

	/// Runs a function on the loop's thread. May be called from any thread.
	void post(std::function<void()> _function);

	/// Runs a function on the loop's thread after a delay.
	void after(Micros _delay, std::function<void()> _function);

	/// @returns the Asio objects, for use inside the transport layer.
	IoLoopImpl& impl();

private:
	std::unique_ptr<IoLoopImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_IOLOOP_H
