// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/ioloop.h"

#include "transport/ioloop_p.h"

#include <chrono>

namespace beacongate
{
IoLoop::IoLoop() : m_impl(std::make_unique<IoLoopImpl>())
{
}

IoLoop::~IoLoop()
{
	shutdown();
}

void IoLoop::init()
{
	m_impl->work.emplace(m_impl->context.get_executor());
	m_impl->thread = std::thread([this] { m_impl->context.run(); });
}

void IoLoop::shutdown()
{
	m_impl->work.reset();
	m_impl->context.stop();
	if (m_impl->thread.joinable())
	{
		m_impl->thread.join();
	}
}

void IoLoop::post(std::function<void()> _function)
{
	boost::asio::post(m_impl->context, std::move(_function));
}

void IoLoop::after(Micros _delay, std::function<void()> _function)
{
	auto timer = std::make_shared<boost::asio::steady_timer>(m_impl->context, std::chrono::microseconds(_delay));
	timer->async_wait(
		[timer, function = std::move(_function)](const boost::system::error_code& _error)
		{
			if (!_error)
			{
				function();
			}
		});
}

IoLoopImpl& IoLoop::impl()
{
	return *m_impl;
}

} // namespace beacongate
