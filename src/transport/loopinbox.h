// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Bounded message queue from another thread to an I/O loop.

#ifndef BEACONGATE_TRANSPORT_LOOPINBOX_H
#define BEACONGATE_TRANSPORT_LOOPINBOX_H

#include "transport/ioloop.h"
#include "transport/ring.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <utility>
#include <vector>

namespace beacongate
{
/// Passes messages from one thread to a loop, which receives all queued messages as one batch.
template <typename Message> class LoopInbox
{
public:
	/// @param[in] _handler Receives each batch on the loop's thread.
	LoopInbox(IoLoop& _loop, std::function<void(std::vector<std::unique_ptr<Message>>&)> _handler)
		: m_loop(_loop), m_handler(std::move(_handler))
	{
	}

	/// Queues a message; busy-waits while the ring is full, so that no message is lost.
	/// @attention Must only be called on a thread that the loop never waits for, since both would then deadlock.
	void push(Message _message)
	{
		auto message = std::make_unique<Message>(std::move(_message));
		while (!m_ring.push(message))
		{
			wake();
			std::this_thread::yield();
		}
		m_unflushed = true;
	}

	/// Wakes the loop if a message was pushed since the last call.
	void flush()
	{
		if (m_unflushed)
		{
			m_unflushed = false;
			wake();
		}
	}

private:
	void wake()
	{
		if (!m_drainPosted.exchange(true))
		{
			m_loop.post([this] { drain(); });
		}
	}

	void drain()
	{
		m_drainPosted = false;
		std::vector<std::unique_ptr<Message>> batch;
		while (std::unique_ptr<Message> message = m_ring.pop())
		{
			batch.push_back(std::move(message));
		}
		m_handler(batch);
	}

	IoLoop& m_loop;
	std::function<void(std::vector<std::unique_ptr<Message>>&)> m_handler;
	Ring<Message> m_ring;
	std::atomic<bool> m_drainPosted = false;
	bool m_unflushed = false; ///< A message was pushed since the last flush(); only the pushing thread uses it.
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_LOOPINBOX_H
