// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "gateway/dispatcher.h"

#include <algorithm>
#include <chrono>

namespace beacongate
{
namespace
{
constexpr Micros kWakeDelay = 10 * kMillisecond; ///< Calls that come together are answered by one round.
} // namespace

Dispatcher::Dispatcher(GatewayContext& context) : m_context(context), m_timer(context.loop)
{
}

void Dispatcher::enqueue(ExchangePtr exchange)
{
	const auto later = [&](const ExchangePtr& other)
	{
		return other->priority() > exchange->priority() ||
			   (other->priority() == exchange->priority() && other->received() > exchange->received());
	};
	const auto place = std::find_if(m_waiting.begin(), m_waiting.end(), later);
	m_waiting.insert(place, std::move(exchange));
	wake();
}

void Dispatcher::remove(const Exchange* exchange)
{
	std::erase_if(m_waiting, [exchange](const ExchangePtr& other) { return other.get() == exchange; });
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
		[this](const boost::system::error_code& error)
		{
			m_wakePending = false;
			if (!error)
			{
				tryAll();
			}
		});
}

void Dispatcher::tryAll()
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
