// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One HTTP request on a dedicated connection; the answer is delivered as it arrives.

#ifndef BEACONGATE_TRANSPORT_OUTGOINGCALL_H
#define BEACONGATE_TRANSPORT_OUTGOINGCALL_H

#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace beacongate
{
/// Reason why a call ended without a complete answer.
enum class CallFault
{
	Refused,   ///< No byte was sent: no process listens at the address.
	NotSent,   ///< No byte was sent: the connection failed, or maySend() returned false.
	Broken,    ///< The connection ended before the answer was complete.
	Malformed, ///< The received bytes are not a valid HTTP answer.
};

/// Callbacks of a call; none is called after onDone(), onFault() or cancel().
struct CallHandlers
{
	/// Called once the connection is established; if it returns false, the call ends as NotSent. If it is empty,
	/// the request is sent.
	std::function<bool()> maySend;
	std::function<void()> onSent; ///< The connection is established and the request was passed to it.
	std::function<void(const MessageHead&)> onHead;
	std::function<void(std::string_view)> onBody;
	std::function<void()> onDone;
	std::function<void(CallFault)> onFault;
};

/// Connection options of a call.
struct CallOptions
{
	Address address;
	/// Opens the connection, and never calls its argument from inside itself. If it is empty, the connection is
	/// opened to the address.
	std::function<void(TcpConnection::ConnectHandler)> connect;
	Micros connectSpan = kSecond;     ///< Timeout for establishing the connection.
	Micros userTimeout = 3 * kSecond; ///< TCP_USER_TIMEOUT: maximum time that sent bytes may stay unacknowledged.
	bool noBody = false;              ///< The answer has no body, regardless of its headers.
};

/// A call in progress.
class OutgoingCall : public std::enable_shared_from_this<OutgoingCall>
{
public:
	using Ptr = std::shared_ptr<OutgoingCall>;

	/// Starts a call. No handler runs before this function returns.
	/// @param[in] bytes The formatted HTTP request.
	static Ptr start(boost::asio::io_context& _context, const CallOptions& _options, std::string _bytes,
					 CallHandlers _handlers);

	explicit OutgoingCall(CallHandlers _handlers);

	/// Cancels the call and closes its connection.
	void cancel();

	/// Stops reading the answer while its consumer cannot keep up.
	void pause();

	/// Continues to read after pause().
	void resume();

private:
	void onConnected(const TcpConnection::Ptr& _connection, ConnectResult _result, const std::string& _bytes,
					 bool _noBody);
	void onBytes(std::string_view _bytes);
	void onEnd(ConnectionEnd _end);
	void parse();
	void fail(CallFault _fault);
	void finish();

	CallHandlers m_handlers;
	TcpConnection::Ptr m_connection;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	bool m_noBody = false;
	bool m_headReported = false;
	bool m_ended = false;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_OUTGOINGCALL_H
