// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/dispatcher.h"

#include "coordination/admission/admissionrules.h"

#include <algorithm>
#include <chrono>

namespace beacongate
{
namespace
{
/// Calls of wake() within this time share one pass over the queue.
constexpr Micros kWakeDelay = 10 * kMillisecond;
static_assert(kWakeDelay <= kHeldInterval, "held requests would be refused too late");
} // namespace

Dispatcher::Dispatcher(GatewayContext& _context) : m_context(_context), m_timer(_context.loop)
{
}

void Dispatcher::enqueue(ExchangePtr _exchange)
{
	const auto isBehind = [&](const ExchangePtr& _other)
	{
		return _other->priority() > _exchange->priority() ||
			   (_other->priority() == _exchange->priority() && _other->received() > _exchange->received());
	};
	const auto position = std::find_if(m_waiting.begin(), m_waiting.end(), isBehind);
	m_waiting.insert(position, std::move(_exchange));
	wake();
}

void Dispatcher::remove(const Exchange* _exchange)
{
	std::erase_if(m_waiting, [_exchange](const ExchangePtr& _other) { return _other.get() == _exchange; });
}

std::size_t Dispatcher::waitingBefore(const Exchange* _exchange) const
{
	const auto place = std::find_if(m_waiting.begin(), m_waiting.end(),
									[_exchange](const ExchangePtr& _other) { return _other.get() == _exchange; });
	return static_cast<std::size_t>(std::distance(m_waiting.begin(), place));
}

void Dispatcher::wake()
{
	if (m_wakePending || m_waiting.empty())
	{
		return;
	}
	m_wakePending = true;
	m_timer.expires_after(std::chrono::microseconds(kWakeDelay));
	m_timer.async_wait(
		[this](const boost::system::error_code& _error)
		{
			m_wakePending = false;
			if (!_error)
			{
				dispatchAll();
			}
		});
}

void Dispatcher::dispatchAll()
{
	const std::vector<ExchangePtr> waiting = m_waiting;
	for (const ExchangePtr& exchange : waiting)
	{
		if (exchange->tryDispatch())
		{
			remove(exchange.get());
		}
	}
	wake();
}

} // namespace beacongate
