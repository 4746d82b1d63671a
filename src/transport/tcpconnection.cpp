// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/tcpconnection.h"

#include "beacongate/limits.h"

#include <boost/asio/write.hpp>

#include <array>
#include <netinet/tcp.h>
#include <utility>

namespace beacongate
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kLingerTimeout = 1 * kSecond;
/// Time without an accepted byte after which a connection that is being closed counts as stalled.
constexpr Micros kStallTimeout = 5 * kSecond;

/// @returns the read buffer of this thread. All its connections share it, since each read passes its bytes on
/// before the next read.
std::array<char, limits::kReadBytes>& readBuffer()
{
	thread_local std::array<char, limits::kReadBytes> buffer{};
	return buffer;
}

void setSocketOptions(tcp::socket& _socket, Micros _userTimeout)
{
	BoostError ignored;
	_socket.non_blocking(true, ignored);
	_socket.set_option(tcp::no_delay(true), ignored);
	const int millis = static_cast<int>(_userTimeout / kMillisecond);
	setsockopt(_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis);
}

ConnectResult resultOf(const BoostError& _error)
{
	if (!_error)
	{
		return ConnectResult::Connected;
	}
	return _error == asio::error::connection_refused ? ConnectResult::Refused : ConnectResult::Unreachable;
}
} // namespace

TcpConnection::TcpConnection(Socket _socket, Micros _userTimeout)
	: m_socket(std::move(_socket)), m_lingerTimer(m_socket.get_executor())
{
	setSocketOptions(m_socket, _userTimeout);
}

void TcpConnection::open(asio::io_context& _context, const Address& _address, Micros _connectTimeout,
						 Micros _userTimeout, ConnectHandler _done)
{
	struct PendingConnect
	{
		explicit PendingConnect(asio::io_context& _loop) : socket(_loop), timer(_loop)
		{
		}
		tcp::socket socket;
		asio::steady_timer timer;
		bool ended = false;
	};
	const auto pending = std::make_shared<PendingConnect>(_context);
	const auto finish = [pending, done = std::move(_done), _userTimeout](ConnectResult _result)
	{
		if (pending->ended)
		{
			return;
		}
		pending->ended = true;
		pending->timer.cancel();
		if (_result != ConnectResult::Connected)
		{
			BoostError ignored;
			pending->socket.close(ignored);
			done(nullptr, _result);
			return;
		}
		done(std::make_shared<TcpConnection>(std::move(pending->socket), _userTimeout), _result);
	};
	pending->timer.expires_after(std::chrono::microseconds(_connectTimeout));
	pending->timer.async_wait(
		[finish](const BoostError& _error)
		{
			if (!_error)
			{
				finish(ConnectResult::Unreachable);
			}
		});
	BoostError addressError;
	const tcp::endpoint endpoint(asio::ip::make_address(_address.host, addressError), _address.port);
	if (addressError)
	{
		asio::post(_context, [finish] { finish(ConnectResult::Unreachable); });
		return;
	}
	pending->socket.async_connect(endpoint, [finish](const BoostError& _error) { finish(resultOf(_error)); });
}

void TcpConnection::start(ConnectionHandlers _handlers)
{
	m_handlers = std::move(_handlers);
	waitUntilReadable();
}

void TcpConnection::pauseReading()
{
	m_paused = true;
}

void TcpConnection::resumeReading()
{
	m_paused = false;
	waitUntilReadable();
}

void TcpConnection::waitUntilReadable()
{
	if (m_reading || m_paused || m_closed)
	{
		return;
	}
	m_reading = true;
	m_socket.async_wait(tcp::socket::wait_read,
						[self = shared_from_this()](const BoostError& _error)
						{
							self->m_reading = false;
							if (_error)
							{
								self->end(ConnectionEnd::Broken);
								return;
							}
							self->readBytes();
						});
}

void TcpConnection::readBytes()
{
	if (m_closed || m_paused)
	{
		return;
	}
	BoostError error;
	auto& buffer = readBuffer();
	const std::size_t count = m_socket.read_some(asio::buffer(buffer), error);
	if (error == asio::error::would_block || error == asio::error::try_again)
	{
		waitUntilReadable();
		return;
	}
	if (error)
	{
		const bool inOrder = error == asio::error::eof && !m_broken;
		end(inOrder ? ConnectionEnd::Closed : ConnectionEnd::Broken);
		return;
	}
	const auto self = shared_from_this();
	if (m_handlers.onBytes)
	{
		// The handler may replace the handlers, so a copy keeps the running one alive.
		const auto handler = m_handlers.onBytes;
		handler(std::string_view(buffer.data(), count));
	}
	waitUntilReadable();
}

void TcpConnection::send(std::string_view _bytes)
{
	if (m_closed || m_lingering)
	{
		return;
	}
	m_unsent += _bytes;
	if (!m_writing)
	{
		writeBytes();
	}
}

void TcpConnection::sendOwned(std::string&& _bytes)
{
	if (m_closed || m_lingering || !m_unsent.empty())
	{
		send(_bytes);
		return;
	}
	m_unsent = std::move(_bytes);
	if (!m_writing)
	{
		writeBytes();
	}
}

void TcpConnection::writeBytes()
{
	BoostError error;
	const std::size_t count = m_socket.write_some(asio::buffer(m_unsent), error);
	if (error && error != asio::error::would_block && error != asio::error::try_again)
	{
		// The read operation reports the end, so that no handler is called from inside send(). It would find an
		// orderly end, since the system reports an error once. A broken pipe means that there was an orderly end.
		m_broken = m_broken || error != asio::error::broken_pipe;
		m_unsent.clear();
		reportSent();
		return;
	}
	m_unsent.erase(0, count);
	if (!m_unsent.empty())
	{
		if (m_lingering && count > 0)
		{
			armLingerTimer(kStallTimeout);
		}
		waitUntilWritable();
		return;
	}
	m_unsent.shrink_to_fit();
	if (m_lingering)
	{
		shutdownSending();
	}
}

void TcpConnection::waitUntilWritable()
{
	m_writing = true;
	m_socket.async_wait(tcp::socket::wait_write,
						[self = shared_from_this()](const BoostError& _error)
						{
							self->m_writing = false;
							if (_error || self->m_closed)
							{
								return;
							}
							self->writeBytes();
							if (self->m_unsent.empty() && self->m_handlers.onDrained)
							{
								const auto handler = self->m_handlers.onDrained;
								handler();
							}
						});
}

void TcpConnection::close()
{
	if (m_closed)
	{
		return;
	}
	m_closed = true;
	m_lingerTimer.cancel();
	BoostError ignored;
	m_socket.close(ignored);
	reportSent();
	// The handlers own the object that owns this connection. Destroying them here could destroy a running handler,
	// so the cycle is broken after the current call.
	asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_handlers = {}; });
}

void TcpConnection::reset()
{
	if (m_closed)
	{
		return;
	}
	BoostError ignored;
	m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
	close();
}

void TcpConnection::setResetOnLoss(bool _reset)
{
	if (m_resetOnLoss == _reset || m_closed)
	{
		return;
	}
	m_resetOnLoss = _reset;
	const linger option{_reset ? 1 : 0, 0};
	setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void TcpConnection::closeAfterSending(std::function<void()> _onSent)
{
	if (m_closed || m_lingering)
	{
		_onSent ? _onSent() : void();
		return;
	}
	m_lingering = true;
	m_onSent = std::move(_onSent);
	m_handlers.onBytes = nullptr;
	m_handlers.onEnd = nullptr;
	m_handlers.onDrained = nullptr;
	m_paused = false;
	waitUntilReadable();
	if (m_unsent.empty())
	{
		shutdownSending();
		return;
	}
	armLingerTimer(kStallTimeout);
}

void TcpConnection::armLingerTimer(Micros _span)
{
	m_lingerTimer.expires_after(std::chrono::microseconds(_span));
	m_lingerTimer.async_wait(
		[self = shared_from_this()](const BoostError& _error)
		{
			if (!_error)
			{
				self->m_unsent.empty() ? self->close() : self->reset();
			}
		});
}

void TcpConnection::reportSent()
{
	if (const auto handler = std::exchange(m_onSent, nullptr))
	{
		handler();
	}
}

void TcpConnection::shutdownSending()
{
	setResetOnLoss(false);
	BoostError ignored;
	m_socket.shutdown(tcp::socket::shutdown_send, ignored);
	armLingerTimer(kLingerTimeout);
	reportSent();
}

void TcpConnection::end(ConnectionEnd _end)
{
	if (m_closed)
	{
		return;
	}
	const auto self = shared_from_this();
	const auto handler = m_handlers.onEnd;
	close();
	if (handler)
	{
		handler(_end);
	}
}

} // namespace beacongate
