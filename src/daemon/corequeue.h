// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The way into a decision thread: events, and questions that only it can answer.

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
/// Bounded queue of one core.
/// @tparam Core EntryCore or ControlCore.
/// @tparam CoreEvent What the core takes in.
template <typename Core, typename CoreEvent> class CoreQueue
{
public:
	/// Reads the core on its own thread.
	using Read = std::function<std::string(const Core&)>;

	/// Hands an event over; may be called from any thread.
	/// @returns false where the queue is full.
	bool submit(CoreEvent _event)
	{
		return push(std::make_unique<Message>(std::move(_event)));
	}

	/// Asks the core's thread and waits for its answer.
	/// @throws Error Overloaded where there is none in time.
	std::string ask(Read _read)
	{
		Question question{std::move(_read), std::make_shared<std::promise<std::string>>()};
		std::future<std::string> answer = question.answer->get_future();
		if (!push(std::make_unique<Message>(std::move(question))))
		{
			throw Error(Failure::Overloaded, "the decision thread has too much to do");
		}
		if (std::future_status::ready != answer.wait_for(kAnswerWait))
		{
			throw Error(Failure::Overloaded, "the decision thread did not answer in time");
		}
		return answer.get();
	}

	/// Takes what waits, on the core's thread.
	/// @param[in] _most Messages that are taken at the most.
	/// @param[in] _handle Called with each event; questions are answered from `_core`.
	/// @returns number of messages taken.
	template <typename Handle> std::size_t drain(const Core& _core, std::size_t _most, Handle _handle)
	{
		std::size_t taken = 0;
		while (taken < _most)
		{
			const std::unique_ptr<Message> message = m_ring.pop();
			if (nullptr == message)
			{
				break;
			}
			++taken;
			if (CoreEvent* event = std::get_if<CoreEvent>(message.get()))
			{
				_handle(std::move(*event));
				continue;
			}
			Question& question = std::get<Question>(*message);
			question.answer->set_value(question.read(_core));
		}
		return taken;
	}

	/// Waits until something was handed over, wake() was called or the span is over.
	void wait(std::chrono::microseconds _span)
	{
		m_wakeup.wait(_span);
	}

	/// Ends a wait.
	void wake()
	{
		m_wakeup.notify();
	}

private:
	static constexpr std::chrono::seconds kAnswerWait{2};

	struct Question
	{
		Read read;
		std::shared_ptr<std::promise<std::string>> answer;
	};
	using Message = std::variant<CoreEvent, Question>;

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
