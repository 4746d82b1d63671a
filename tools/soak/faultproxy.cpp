// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/faultproxy.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <string>

namespace beacongate::soak
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kConnectTimeout = 1 * kSecond;
constexpr Micros kUserTimeout = 10 * kSecond;
} // namespace

/// Two connections, each of which receives the bytes of the other.
struct FaultProxy::Link
{
	TcpConnection::Ptr caller;
	TcpConnection::Ptr target;
	std::deque<std::string> toTarget; ///< Delayed chunks, in order of arrival.
	std::deque<std::string> toCaller;
	bool ended = false;
};

FaultProxy::FaultProxy(const Address& _listen, const Address& _target)
	: m_address(_listen), m_target(_target), m_acceptor(m_loop.context())
{
	m_loop.run([this] { listen(); });
}

void FaultProxy::listen()
{
	standin::listenAt(m_acceptor, m_address);
	accept();
}

void FaultProxy::resetLinks()
{
	const std::list<LinkPtr> links = m_links;
	for (const LinkPtr& link : links)
	{
		end(link, ConnectionEnd::Broken);
	}
}

void FaultProxy::setListening(bool _listening, bool _resetOpen)
{
	m_loop.run(
		[&]
		{
			if (_listening == m_acceptor.is_open())
			{
				return;
			}
			if (_listening)
			{
				listen();
				return;
			}
			BoostError ignored;
			m_acceptor.close(ignored);
			if (_resetOpen)
			{
				resetLinks();
			}
		});
}

FaultProxy::~FaultProxy()
{
	m_loop.run(
		[this]
		{
			BoostError ignored;
			m_acceptor.close(ignored);
			resetLinks();
		});
}

void FaultProxy::setFault(LinkFault _fault, Micros _delay)
{
	m_loop.run(
		[&]
		{
			m_delay = _delay;
			const bool lostBytes = m_fault == LinkFault::Silent || m_fault == LinkFault::DropsAnswers;
			m_fault = _fault;
			if (_fault != LinkFault::Resets && !lostBytes)
			{
				return;
			}
			// Links that lost bytes are reset, since the rest of their stream would be corrupt.
			resetLinks();
		});
}

void FaultProxy::accept()
{
	m_acceptor.async_accept(
		[this](const BoostError& _error, tcp::socket _socket)
		{
			if (_error)
			{
				return;
			}
			auto caller = std::make_shared<TcpConnection>(std::move(_socket), kUserTimeout);
			if (m_fault == LinkFault::Resets)
			{
				caller->reset();
			}
			else
			{
				const auto link = std::make_shared<Link>();
				link->caller = std::move(caller);
				TcpConnection::open(m_loop.context(), m_target, kConnectTimeout, kUserTimeout,
									[this, link](TcpConnection::Ptr _target, ConnectResult)
									{
										if (!_target)
										{
											link->caller->reset();
											return;
										}
										link->target = std::move(_target);
										startForwarding(link);
									});
			}
			accept();
		});
}

void FaultProxy::startForwarding(const LinkPtr& _link)
{
	m_links.push_back(_link);
	for (const bool fromCaller : {true, false})
	{
		ConnectionHandlers handlers;
		handlers.onBytes = [this, _link, fromCaller](std::string_view _bytes)
		{
			forward(_link, fromCaller, _bytes);
		};
		handlers.onEnd = [this, _link](ConnectionEnd _reason)
		{
			end(_link, _reason);
		};
		(fromCaller ? _link->caller : _link->target)->start(std::move(handlers));
	}
}

void FaultProxy::forward(const LinkPtr& _link, bool _fromCaller, std::string_view _bytes)
{
	const bool dropped = m_fault == LinkFault::Silent || (m_fault == LinkFault::DropsAnswers && !_fromCaller);
	if (dropped)
	{
		return;
	}
	std::deque<std::string>& pending = _fromCaller ? _link->toTarget : _link->toCaller;
	const bool delayed = m_fault == LinkFault::Delays || !pending.empty();
	pending.emplace_back(_bytes);
	if (!delayed)
	{
		deliverNext(_link, _fromCaller);
		return;
	}
	// A chunk is never delivered before earlier ones, even if the fault ends while these are delayed.
	auto timer = std::make_shared<asio::steady_timer>(m_loop.context(), std::chrono::microseconds(m_delay));
	timer->async_wait([this, timer, _link, _fromCaller](const BoostError&) { deliverNext(_link, _fromCaller); });
}

void FaultProxy::deliverNext(const LinkPtr& _link, bool _fromCaller)
{
	std::deque<std::string>& pending = _fromCaller ? _link->toTarget : _link->toCaller;
	const std::string bytes = std::move(pending.front());
	pending.pop_front();
	if (!_link->ended)
	{
		(_fromCaller ? _link->target : _link->caller)->send(bytes);
	}
}

void FaultProxy::end(const LinkPtr& _link, ConnectionEnd _reason)
{
	if (_link->ended)
	{
		return;
	}
	_link->ended = true;
	m_links.remove(_link);
	for (const TcpConnection::Ptr& connection : {_link->caller, _link->target})
	{
		if (_reason == ConnectionEnd::Closed)
		{
			connection->closeAfterSending();
		}
		else
		{
			connection->reset();
		}
	}
}

} // namespace beacongate::soak
