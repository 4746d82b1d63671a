// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Server side of HTTP/1.1 connections: sequential requests, each with a complete or a streamed answer.

#ifndef BEACONGATE_TRANSPORT_SERVERSESSION_H
#define BEACONGATE_TRANSPORT_SERVERSESSION_H

#include "beacongate/routing.h"
#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace beacongate
{
class ServerSession;
using ServerSessionPtr = std::shared_ptr<ServerSession>;

/// A complete request.
struct IncomingRequest
{
	MessageHead head;
	std::string body;
	Micros received = 0; ///< Monotonic time when its last byte was read.
};

/// State that all sessions of a server share: handlers, limits and the set of open sessions.
struct ServerContext
{
	/// Handles a request, which may be answered on its session at any later time.
	std::function<void(const ServerSessionPtr&, IncomingRequest&&)> onRequest;
	/// Builds the answer to a malformed or too large request.
	std::function<HttpAnswer(ParseFault)> onMalformed;
	/// Builds the answer to a request that did not arrive in time, or whose body exceeded the shared buffer limit.
	std::function<HttpAnswer()> onTimeout;
	/// @returns the current limits.
	std::function<RequestLimits()> limits;
	/// @returns the monotonic time.
	std::function<Micros()> now;
	std::size_t bufferedBytes = 0; ///< Bytes of request bodies that all sessions hold.
	std::size_t closing = 0;       ///< Connections of ended sessions whose last answer is still being sent.
	bool stopping = false;         ///< Each connection is closed after its next answer.
	std::unordered_set<ServerSessionPtr> sessions;
};

/// One client connection.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
	ServerSession(std::shared_ptr<ServerContext> _context, TcpConnection::Ptr _connection);

	/// Starts reading requests.
	void start();

	/// Sets the handler for a client that disconnects before its answer is complete. The end of the answer clears
	/// it.
	void setDisconnectHandler(std::function<void()> _onDisconnected);

	/// Sets the handler that is called when the system has accepted all bytes that were queued for sending.
	void setDrainedHandler(std::function<void()> _onDrained);

	/// Sends a complete answer to the current request.
	/// @param[in] closeAfter Closes the connection after this answer.
	void answer(HttpAnswer _answer, bool _closeAfter = false);

	/// Starts an answer of unknown length.
	void startAnswer(unsigned _status, const HttpHeaders& _headers, std::string_view _firstBytes);

	/// Appends bytes to a started answer.
	void sendBodyPart(std::string_view _bytes);

	/// Ends a started answer.
	void finishAnswer();

	/// Keeps an object until the system has accepted all bytes that are queued for sending, or the connection ends.
	/// @param[in] _object May be nullptr.
	void holdUntilSent(std::shared_ptr<void> _object);

	/// Resets the connection, so that the client cannot take the answer as complete.
	void abort();

	/// Ends the session and hands its connection over, for another protocol.
	/// @returns the connection, whose handlers must be set with start(); nullptr if the session has ended.
	TcpConnection::Ptr release();

	/// @returns the number of queued bytes that the system has not accepted yet.
	std::size_t unsent() const;

	/// Closes the connection if no request is being read or answered.
	void closeIfIdle();

	/// @returns true if a request is being read or answered.
	bool busy() const;

private:
	enum class Phase
	{
		Reading,
		Working,
		Answering,
		Ended,
	};

	void onBytes(std::string_view _bytes);
	void parse();
	void onHead();
	void rejectRequest(const HttpAnswer& _answer);
	void onTimer();
	void armTimer(Micros _timeout);
	void nextRequest();
	/// Ends the session; its connection is closed once the last answer was sent.
	void endAfterSending();
	void end();
	std::string formatHead(unsigned _status, const HttpHeaders& _headers, bool _keepAlive) const;
	bool mayKeepAlive(bool _closeAfter) const;

	std::shared_ptr<ServerContext> m_context;
	TcpConnection::Ptr m_connection;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	std::string m_body;
	std::size_t m_bufferedBytes = 0;
	std::function<void()> m_onDisconnected;
	std::function<void()> m_onDrained;
	/// Objects that are kept until the queued bytes are sent. A connection that is being closed shares them.
	std::shared_ptr<std::vector<std::shared_ptr<void>>> m_held =
		std::make_shared<std::vector<std::shared_ptr<void>>>();
	boost::asio::steady_timer m_timer;
	Phase m_phase = Phase::Reading;
	unsigned m_version = 11;
	bool m_requestKeepsAlive = true;
	bool m_noBody = false;
	bool m_chunked = false;
	bool m_keepAlive = true;
	bool m_headHandled = false;
};

/// Accepts connections and starts a session for each.
class ServerListener
{
public:
	/// Binds and listens.
	/// @throws Error SettingInvalid if the address cannot be bound.
	ServerListener(boost::asio::io_context& _context, const Address& _address,
				   std::shared_ptr<ServerContext> _shared);

	/// Stops accepting connections.
	void close();

	/// @returns the bound port; if port 0 was given, the port that the system assigned.
	std::uint16_t port() const;

private:
	void accept();

	boost::asio::io_context& m_loop;
	boost::asio::ip::tcp::acceptor m_acceptor;
	std::shared_ptr<ServerContext> m_shared;
	boost::asio::steady_timer m_retryTimer;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_SERVERSESSION_H
