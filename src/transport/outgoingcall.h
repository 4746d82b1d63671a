// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// One request sent on a connection of its own, with the answer handed on as it arrives.

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
/// How a call ended without a whole answer.
enum class CallFault
{
	NotSent,   ///< No byte of the request left: no connection came up.
	Broken,    ///< The connection ended before the answer did.
	Malformed, ///< The bytes are no answer.
};

/// What a call reports; nothing after onDone(), onFault() or cancel().
struct CallHandlers
{
	/// Asked once the connection is up; where it says no, the call ends as NotSent. None is yes.
	std::function<bool()> maySend;
	std::function<void()> onSent; ///< The connection is up and the request's bytes were handed over.
	std::function<void(const MessageHead&)> onHead;
	std::function<void(std::string_view)> onBody;
	std::function<void()> onDone;
	std::function<void(CallFault)> onFault;
};

/// How a call connects.
struct CallOptions
{
	Address address;
	Micros connectSpan = kSecond;     ///< Until a connection has to be up.
	Micros userTimeout = 3 * kSecond; ///< How long sent bytes may stay unacknowledged.
	bool noBody = false;              ///< The answer has no body, whatever its head says.
};

/// A call that runs.
class OutgoingCall : public std::enable_shared_from_this<OutgoingCall>
{
public:
	using Ptr = std::shared_ptr<OutgoingCall>;

	/// Begins a call. No handler runs before this returns.
	/// @param[in] bytes The request as it goes on the wire.
	static Ptr start(boost::asio::io_context& _context, const CallOptions& _options, std::string _bytes,
					 CallHandlers _handlers);

	explicit OutgoingCall(CallHandlers _handlers);

	/// Ends the call; its connection is closed.
	void cancel();

	/// Stops reading the answer, for a caller that does not keep up.
	void pause();

	/// Goes on after pause().
	void resume();

private:
	void onConnected(const TcpConnection::Ptr& _connection, const std::string& _bytes, bool _noBody);
	void onBytes(std::string_view _bytes);
	void onEnd(ConnectionEnd _how);
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
