// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Non-blocking TCP connection on an event loop, with reads that can be paused.

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
/// How the receiving direction of a connection ended.
enum class ConnectionEnd
{
	Closed, ///< The other side closed the connection in order.
	Broken, ///< The connection was reset or timed out, or the other side became unreachable.
};

/// Result of an attempt to connect.
enum class ConnectResult
{
	Connected,
	Refused,     ///< The VM answered that no process listens at the address.
	Unreachable, ///< No answer in time, or the network reported another error.
};

/// @returns the name used in logs.
constexpr std::string_view toString(ConnectResult _result)
{
	switch (_result)
	{
	case ConnectResult::Connected:
		return "connected";
	case ConnectResult::Refused:
		return "refused";
	case ConnectResult::Unreachable:
		return "unreachable";
	}
	return "unreachable";
}

/// Callbacks of a connection; they may close or release it.
struct ConnectionHandlers
{
	std::function<void(std::string_view)> onBytes;
	std::function<void(ConnectionEnd)> onEnd; ///< Called at most once, and never after close().
	std::function<void()> onDrained;          ///< The system has accepted all bytes passed to send().
};

/// A TCP connection, open or closed.
class TcpConnection : public std::enable_shared_from_this<TcpConnection>
{
public:
	using Socket = boost::asio::ip::tcp::socket;
	using Ptr = std::shared_ptr<TcpConnection>;
	using ConnectHandler = std::function<void(Ptr, ConnectResult)>;

	/// Takes ownership of a connected socket.
	/// @param[in] userTimeout TCP_USER_TIMEOUT: maximum time that sent bytes may stay unacknowledged.
	TcpConnection(Socket _socket, Micros _userTimeout);

	/// Opens a connection.
	/// @param[in] connectTimeout Timeout for establishing the connection.
	/// @param[in] done Receives the connection, or nullptr and the reason if it could not be established in time.
	/// It is never called from inside this function.
	static void open(boost::asio::io_context& _context, const Address& _address, Micros _connectTimeout,
					 Micros _userTimeout, ConnectHandler _done);

	/// Sets the handlers and starts reading.
	void start(ConnectionHandlers _handlers);

	/// Stops reading after the current bytes. While reading is paused, the end of the connection is not detected.
	void pauseReading();

	/// Continues to read after pauseReading().
	void resumeReading();

	/// Sends bytes in order, without blocking; what the system does not accept at once is buffered.
	void send(std::string_view _bytes);

	/// Sends bytes in the same way, without copying them if nothing else waits to be sent.
	void sendOwned(std::string&& _bytes);

	/// @returns the number of bytes that the system has not accepted yet.
	std::size_t unsent() const
	{
		return m_unsent.size();
	}

	/// Closes the connection at once; no handler is called afterwards.
	void close();

	/// Closes the connection at once with a TCP reset instead of an orderly end.
	void reset();

	/// Sends the remaining bytes, shuts down the sending direction, and waits up to 1 s for the other side to
	/// close. Without the wait, bytes that still arrive would cause a reset, and the last bytes sent could be lost.
	/// If the other side accepts no byte for 5 s, the connection is reset, so that what it has does not look whole.
	/// @param[in] _onSent Called once, when all bytes were sent or the connection has ended. May be empty.
	void closeAfterSending(std::function<void()> _onSent = {});

	/// Sets whether the system resets the connection if this process ends. It is needed while the end of the
	/// connection would complete an answer. closeAfterSending() ends it once all bytes were sent.
	void setResetOnLoss(bool _reset);

	/// @returns the executor of the loop that the connection runs on.
	Socket::executor_type executor()
	{
		return m_socket.get_executor();
	}

	/// @returns true if close(), reset() or closeAfterSending() was called, or the connection has ended.
	bool closed() const
	{
		return m_closed || m_lingering;
	}

private:
	void waitUntilReadable();
	void readBytes();
	void waitUntilWritable();
	void writeBytes();
	void shutdownSending();
	void armLingerTimer(Micros _span);
	void reportSent();
	void end(ConnectionEnd _end);

	Socket m_socket;
	boost::asio::steady_timer m_lingerTimer;
	ConnectionHandlers m_handlers;
	std::function<void()> m_onSent; ///< See closeAfterSending().
	std::string m_unsent;
	bool m_paused = false;
	bool m_reading = false;
	bool m_writing = false;
	bool m_closed = false;
	bool m_lingering = false;
	bool m_resetOnLoss = false;
	bool m_broken = false; ///< A write found the connection reset, timed out or unreachable.
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_TCPCONNECTION_H
