// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One TCP connection on an event loop: reads that can be paused, writes that never block.

#ifndef BEACONGATE_TRANSPORT_TCPCONNECTION_H
#define BEACONGATE_TRANSPORT_TCPCONNECTION_H

#include "beacongate/config.h"
#include "beacongate/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace beacongate
{
/// How the other side's direction of a connection ended.
enum class ConnectionEnd
{
	Closed, ///< In order.
	Broken, ///< Reset, timed out or unreachable.
};

/// What a connection calls. Handlers may close or drop the connection.
struct ConnectionHandlers
{
	std::function<void(std::string_view)> onBytes;
	std::function<void(ConnectionEnd)> onEnd; ///< At most once; not after close().
	std::function<void()> onDrained;          ///< All bytes given to send() were taken by the system.
};

/// A connection that is open or was.
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
	using Socket = boost::asio::ip::tcp::socket;
	using Ptr = std::shared_ptr<TcpConnection>;
	using ConnectHandler = std::function<void(Ptr)>;

	/// Takes over an open socket.
	/// @param[in] userTimeout How long sent bytes may stay unacknowledged.
	TcpConnection(Socket _socket, Micros _userTimeout);

	/// Opens a connection.
	/// @param[in] done Gets the connection, or nullptr where none came up within the span. Never called
	/// from inside this function.
	static void open(boost::asio::io_context& _context, const Address& _address, Micros _span, Micros _userTimeout,
					 ConnectHandler _done);

	/// Sets the handlers and begins to read.
	void start(ConnectionHandlers _handlers);

	/// Stops reading after the present bytes; the end of the connection is not noticed meanwhile.
	void pauseReading();

	/// Goes on after pauseReading().
	void resumeReading();

	/// Sends bytes, in order.
	void send(std::string_view _bytes);

	/// @returns bytes that the system has not taken yet.
	std::size_t unsent() const
	{
		return m_unsent.size();
	}

	/// Closes at once; no handler is called any more.
	void close();

	/// Closes at once so that the other side sees a reset and not an end.
	void reset();

	/// Sends what is left, ends this direction, and waits a short while for the other side to end,
	/// so that bytes that are still arriving do not destroy the last ones sent.
	void closeAfterSending();

	/// @returns the loop that the connection runs on.
	Socket::executor_type executor()
	{
		return m_socket.get_executor();
	}

	/// @returns whether close(), reset() or closeAfterSending() was called, or the connection broke.
	bool closed() const
	{
		return m_closed || m_lingering;
	}

private:
	void waitForBytes();
	void readBytes();
	void waitForSpace();
	void writeBytes();
	void shutdownSending();
	void end(ConnectionEnd _how);

	Socket m_socket;
	boost::asio::steady_timer m_lingerTimer;
	ConnectionHandlers m_handlers;
	std::string m_unsent;
	bool m_paused = false;
	bool m_reading = false;
	bool m_writing = false;
	bool m_closed = false;
	bool m_lingering = false;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_TCPCONNECTION_H
