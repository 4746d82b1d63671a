// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Calls to one server, one after the other on a kept connection, each with a deadline.

#ifndef BEACONGATE_TRANSPORT_HTTPCHANNEL_H
#define BEACONGATE_TRANSPORT_HTTPCHANNEL_H

#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace beacongate
{
/// A call to a server of the platform or to another gateway.
struct ChannelRequest
{
	std::string method = "GET";
	std::string target;
	HttpHeaders headers;
	std::string body;
	/// The answer may take this long as long as its bytes keep coming; 0 is no longer than the call's span.
	Micros longest = 0;
	/// Runs whenever bytes of a successful answer came; may be empty.
	std::function<void()> onProgress;
};

/// Why a call got no answer.
enum class ChannelFault : std::uint8_t
{
	None,
	Silent,     ///< Nothing came in time: the other side may be slow, or out of reach.
	Busy,       ///< The other side is well and takes no more calls for now.
	TurnedAway, ///< The connection was refused, or ended before the answer was whole.
};

/// @returns a short name for logs.
std::string_view toString(ChannelFault _fault);

/// Formats a request with its Host and Content-Length.
std::string formatRequest(const ChannelRequest& _request, const Address& _address);

/// Sends calls in order.
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
	/// Gets the answer, or nothing where none came in time: the call may have been done.
	using Handler = std::function<void(std::optional<HttpAnswer>)>;
	/// Asked right before a call is sent; a call that may not go is answered with nothing.
	using MaySend = std::function<bool()>;

	HttpChannel(boost::asio::io_context& _context, Address _address, std::size_t _answerLimit);

	/// Sends a call once those before it have ended. The handler never runs inside this function.
	/// @param[in] span Time for the call, from the moment that it is its turn, and again from each piece of its
	/// answer until the request's `longest` has passed.
	void call(ChannelRequest _request, Micros _span, Handler _handler, MaySend _maySend = nullptr);

	/// @returns whether bytes of an answer have come to the call whose turn it is.
	bool receiving() const
	{
		return m_busy && m_parser && m_parser->started();
	}

	/// @returns why the last call that ended got no answer; for its handler.
	ChannelFault fault() const
	{
		return m_fault;
	}

	/// Closes the connection; calls that wait get nothing and no handler runs any more.
	void close();

private:
	struct Pending
	{
		ChannelRequest request;
		Micros span = 0;
		Handler handler;
		MaySend maySend;
	};

	void next();
	void armTimer();
	void connect();
	void transmit();
	void onBytes(std::string_view _bytes);
	void onEnd(ConnectionEnd _how);
	void fail(ChannelFault _fault);
	void finish(std::optional<HttpAnswer> _answer);
	void dropConnection();

	boost::asio::io_context& m_context;
	Address m_address;
	std::size_t m_answerLimit;
	boost::asio::steady_timer m_timer;
	std::deque<Pending> m_queue;
	bool m_busy = false;
	bool m_closed = false;
	bool m_reused = false;
	ChannelFault m_fault = ChannelFault::None; ///< Of the last call that ended.
	std::uint64_t m_turn = 0;
	std::chrono::steady_clock::time_point m_callEnds; ///< From then on, more bytes give the call no more time.
	TcpConnection::Ptr m_connection;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	std::string m_body;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPCHANNEL_H
