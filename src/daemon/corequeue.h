// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Queue into a core's thread, for events and for queries of the core's state.

#ifndef BEACONGATE_DAEMON_COREQUEUE_H
#define BEACONGATE_DAEMON_COREQUEUE_H

#include "beacongate/errors.h"
#include "transport/ring.h"

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace beacongate
{
/// Bounded queue of one core; many threads submit and the core's thread drains.
/// @tparam Core EntryCore or ControlCore.
/// @tparam CoreEvent Event type of the core.
template <typename Core, typename CoreEvent> class CoreQueue
{
public:
	/// Reads the core's state on the core's thread.
	using Read = std::function<std::string(const Core&)>;

	/// Enqueues an event; may be called from any thread.
	/// @returns false where the queue is full.
	bool submit(CoreEvent _event)
	{
		return push(std::make_unique<Message>(std::move(_event)));
	}

	/// Runs a read on the core's thread and waits for its result.
	/// @throws Error Overloaded where the queue is full or the result does not arrive within kQueryTimeout.
	std::string query(Read _read)
	{
		PendingQuery pendingQuery{std::move(_read), std::make_shared<std::promise<std::string>>()};
		std::future<std::string> answer = pendingQuery.answer->get_future();
		if (!push(std::make_unique<Message>(std::move(pendingQuery))))
		{
			throw Error(Failure::Overloaded, "the decision thread is overloaded");
		}
		if (std::future_status::ready != answer.wait_for(kQueryTimeout))
		{
			throw Error(Failure::Overloaded, "the decision thread did not answer in time");
		}
		return answer.get();
	}

	/// Processes waiting messages; called on the core's thread.
	/// @param[in] _core Core that queries read.
	/// @param[in] _maxMessages Maximum number of messages to process.
	/// @param[in] _handle Called with each event.
	/// @returns the number of messages processed.
	template <typename Handle> std::size_t drain(const Core& _core, std::size_t _maxMessages, Handle _handle)
	{
		std::size_t processed = 0;
		while (processed < _maxMessages)
		{
			const std::unique_ptr<Message> message = m_ring.pop();
			if (nullptr == message)
			{
				break;
			}
			++processed;
			if (CoreEvent* event = std::get_if<CoreEvent>(message.get()))
			{
				_handle(std::move(*event));
				continue;
			}
			PendingQuery& pendingQuery = std::get<PendingQuery>(*message);
			pendingQuery.answer->set_value(pendingQuery.read(_core));
		}
		return processed;
	}

	/// Waits until a message is enqueued, wake() is called or the span has elapsed.
	void wait(std::chrono::microseconds _span)
	{
		m_wakeup.wait(_span);
	}

	/// Ends the current or the next wait().
	void wake()
	{
		m_wakeup.notify();
	}

private:
	static constexpr std::chrono::seconds kQueryTimeout{2};

	/// A read that waits for the core's thread.
	struct PendingQuery
	{
		Read read;
		std::shared_ptr<std::promise<std::string>> answer;
	};
	using Message = std::variant<CoreEvent, PendingQuery>;

	bool push(std::unique_ptr<Message> _message)
	{
		if (!m_ring.push(_message))
		{
			return false;
		}
		m_wakeup.notify();
		return true;
	}

	Ring<Message> m_ring;
	Wakeup m_wakeup;
};

} // namespace beacongate

#endif // BEACONGATE_DAEMON_COREQUEUE_H
