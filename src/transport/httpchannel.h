// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 client for one server: sequential calls on a persistent connection, each with a timeout.

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
	/// While bytes of the answer keep arriving, the call's timeout restarts until this time has passed since the
	/// call was started; 0 never restarts it.
	Micros maxDuration = 0;
	/// Called whenever bytes of an answer with status 200 have arrived; may be empty.
	std::function<void()> onProgress;
};

/// Reason why a call got no answer.
enum class ChannelFault : std::uint8_t
{
	None,
	TimedOut,     ///< The call timed out: the server may be slow or unreachable.
	Busy,         ///< The server is healthy and accepts no further calls for now.
	CallRejected, ///< The connection failed or ended before the answer was complete, or the answer was malformed.
};

/// @returns a short name for logs.
std::string_view toString(ChannelFault _fault);

/// Formats an HTTP/1.1 request and adds the Host and Content-Length headers.
std::string formatRequest(const ChannelRequest& _request, const Address& _address);

/// Sends calls to one server in order, one at a time.
class HttpChannel : public std::enable_shared_from_this<HttpChannel>
{
public:
	/// Receives the answer, or nothing if the call failed; the server may have executed a failed call.
	using Handler = std::function<void(std::optional<HttpAnswer>)>;
	/// Called right before a call is sent; if it returns false, the call is not sent and its handler gets nothing.
	using MaySend = std::function<bool()>;

	HttpChannel(boost::asio::io_context& _context, Address _address, std::size_t _answerLimit);

	/// Queues a call; it is sent once the earlier calls have ended. The handler never runs inside this function.
	/// @param[in] timeout Timeout of the call. It starts when the call reaches the head of the queue, and restarts
	/// whenever bytes of its answer arrive until the request's `maxDuration` has passed.
	void call(ChannelRequest _request, Micros _timeout, Handler _handler, MaySend _maySend = nullptr);

	/// @returns true if bytes of the answer to the current call have arrived.
	bool receiving() const
	{
		return m_busy && m_parser && m_parser->started();
	}

	/// @returns the reason why the last finished call got no answer; its handler may read it.
	ChannelFault fault() const
	{
		return m_fault;
	}

	/// Closes the connection and drops all queued calls without running their handlers.
	void close();

private:
	struct Pending
	{
		ChannelRequest request;
		Micros timeout = 0;
		Handler handler;
		MaySend maySend;
	};

	void startNextCall();
	void armTimer();
	void connect();
	void sendRequest();
	void onBytes(std::string_view _bytes);
	void onEnd(ConnectionEnd _end);
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
	ChannelFault m_fault = ChannelFault::None; ///< Fault of the last finished call.
	std::uint64_t m_callNumber = 0;
	/// After this time, arriving bytes no longer restart the timeout.
	std::chrono::steady_clock::time_point m_extensionEnd;
	TcpConnection::Ptr m_connection;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	std::string m_body;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPCHANNEL_H
