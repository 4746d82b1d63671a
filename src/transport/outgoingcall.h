// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One HTTP request on a dedicated connection; the answer is delivered as it arrives.

#ifndef BEACONGATE_TRANSPORT_OUTGOINGCALL_H
#define BEACONGATE_TRANSPORT_OUTGOINGCALL_H

#include "protocol/tunnelframes.h"
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
	PathLost,  ///< The tunnel ended before the answer was complete; the server's own connection may be intact.
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

/// What shows that the server has closed its connection, which ends an answer that has no length.
enum class EndSignal
{
	Connection, ///< The connection leads to the server, so that its orderly end is the server's.
	Frame,      ///< The connection is a tunnel with frames, of which the last one names the end.
	None,       ///< The connection is a tunnel without frames, which may also end because its provider was lost.
};

/// A connection for a call, or the reason why there is none.
struct CallConnection
{
	TcpConnection::Ptr connection; ///< nullptr if there is none.
	ConnectResult result = ConnectResult::Unreachable;
	EndSignal endSignal = EndSignal::Connection;
	std::string received = {}; ///< Bytes of the server that have arrived already.
};

using CallConnectionHandler = std::function<void(const CallConnection&)>;

/// Connection options of a call.
struct CallOptions
{
	Address address;
	/// Opens the connection, and never calls its argument from inside itself. If it is empty, the connection is
	/// opened to the address.
	std::function<void(CallConnectionHandler)> connect;
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
	void onConnected(const CallConnection& _opened, const std::string& _bytes, bool _noBody);
	void onBytes(std::string_view _bytes);
	void onConnectionEnd(ConnectionEnd _end);
	/// Processes what the frames of a tunnel say of the server's connection.
	void onTunnelEnd();
	/// Processes the end of the server's own connection.
	void onServerEnd(ConnectionEnd _end);
	void parse();
	void fail(CallFault _fault);
	void finish();

	CallHandlers m_handlers;
	TcpConnection::Ptr m_connection;
	EndSignal m_endSignal = EndSignal::Connection;
	TunnelFrameReader m_frames;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	bool m_noBody = false;
	unsigned m_interimAnswers = 0; ///< Answers with a status of 1xx that have arrived.
	bool m_headReported = false;
	bool m_ended = false;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_OUTGOINGCALL_H
