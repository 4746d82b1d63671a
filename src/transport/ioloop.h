// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// A thread that does network I/O, behind a header without Asio.

#ifndef BEACONGATE_TRANSPORT_IOLOOP_H
#define BEACONGATE_TRANSPORT_IOLOOP_H

#include "beacongate/types.h"

#include <functional>
#include <memory>

namespace beacongate
{
struct IoLoopImpl;

/// One Asio io_context with one thread.
class IoLoop
{
public:
	IoLoop();
	~IoLoop();
	IoLoop(const IoLoop&) = delete;
	IoLoop& operator=(const IoLoop&) = delete;

	/// Starts the thread.
	void init();

	/// Stops and joins the thread; what is pending is dropped.
	void shutdown();

	/// Runs a function on the loop's thread. May be called from any thread.
	void post(std::function<void()> _function);

	/// Runs a function on the loop's thread after a span.
	void after(Micros _span, std::function<void()> _function);

	/// For the modules of this layer.
	IoLoopImpl& impl();

private:
	std::unique_ptr<IoLoopImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_IOLOOP_H
