// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Bounded rings that join the threads of a process.

#ifndef BEACONGATE_TRANSPORT_RING_H
#define BEACONGATE_TRANSPORT_RING_H

#include "beacongate/limits.h"

#include <boost/lockfree/queue.hpp>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace beacongate
{
/// Bounded ring of messages that are handed over whole; many producers, one consumer.
template <typename Message> class Ring
{
public:
	Ring() : m_queue(limits::kRingSlots)
	{
	}

	~Ring()
	{
		while (nullptr != pop())
		{
		}
	}

	Ring(const Ring&) = delete;
	Ring& operator=(const Ring&) = delete;

	/// Hands a message over.
	/// @param[in,out] _message Left as it was where the ring is full.
	/// @returns false where the ring is full.
	bool push(std::unique_ptr<Message>& _message)
	{
		if (!m_queue.bounded_push(_message.get()))
		{
			return false;
		}
		(void)_message.release();
		return true;
	}

	/// @returns the oldest message, or null where there is none.
	std::unique_ptr<Message> pop()
	{
		Message* message = nullptr;
		if (!m_queue.pop(message))
		{
			return nullptr;
		}
		return std::unique_ptr<Message>(message);
	}

	/// @returns whether there is nothing to pop.
	bool empty() const
	{
		return m_queue.empty();
	}

private:
	boost::lockfree::queue<Message*, boost::lockfree::fixed_sized<true>> m_queue;
};

/// Wakes a thread that consumes one or several rings.
class Wakeup
{
public:
	/// Wakes the waiting thread, or lets its next wait return at once.
	void notify()
	{
		{
			const std::lock_guard lock(m_mutex);
			m_set = true;
		}
		m_condition.notify_one();
	}

	/// Waits until notify() was called or the span is over.
	void wait(std::chrono::microseconds _span)
	{
		std::unique_lock lock(m_mutex);
		m_condition.wait_for(lock, _span, [this] { return m_set; });
		m_set = false;
	}

private:
	std::mutex m_mutex;
	std::condition_variable m_condition;
	bool m_set = false;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_RING_H
