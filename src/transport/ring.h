// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Bounded message queue between threads, and a wake-up signal for its consumer.

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
/// Bounded lock-free queue that transfers ownership of messages; multiple producers, one consumer.
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

	/// Queues a message and takes ownership of it.
	/// @param[in,out] _message Unchanged if the ring is full.
	/// @returns true if the message was queued, false if the ring is full.
	bool push(std::unique_ptr<Message>& _message)
	{
		if (!m_queue.bounded_push(_message.get()))
		{
			return false;
		}
		(void)_message.release();
		return true;
	}

	/// @returns the oldest message, or null if the ring is empty.
	std::unique_ptr<Message> pop()
	{
		Message* message = nullptr;
		if (!m_queue.pop(message))
		{
			return nullptr;
		}
		return std::unique_ptr<Message>(message);
	}

	/// @returns true if the ring is empty.
	bool empty() const
	{
		return m_queue.empty();
	}

private:
	boost::lockfree::queue<Message*, boost::lockfree::fixed_sized<true>> m_queue;
};

/// Signal that wakes the thread that consumes one or several rings.
class Wakeup
{
public:
	/// Wakes the waiting thread; if none waits, the next wait() returns at once.
	void notify()
	{
		{
			const std::lock_guard lock(m_mutex);
			m_notified = true;
		}
		m_condition.notify_one();
	}

	/// Waits until notify() is called or the timeout expires.
	void wait(std::chrono::microseconds _timeout)
	{
		std::unique_lock lock(m_mutex);
		m_condition.wait_for(lock, _timeout, [this] { return m_notified; });
		m_notified = false;
	}

private:
	std::mutex m_mutex;
	std::condition_variable m_condition;
	bool m_notified = false;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_RING_H
