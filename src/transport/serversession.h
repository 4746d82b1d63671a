// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Server side of HTTP/1.1 connections: one request after the other, each answered whole or in pieces.

#ifndef BEACONGATE_TRANSPORT_SERVERSESSION_H
#define BEACONGATE_TRANSPORT_SERVERSESSION_H

#include "beacongate/routing.h"
#include "transport/messageparser.h"
#include "transport/tcpconnection.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace beacongate
{
class ServerSession;
using ServerSessionPtr = std::shared_ptr<ServerSession>;

/// A request that has arrived whole.
struct IncomingRequest
{
	MessageHead head;
	std::string body;
	Micros received = 0; ///< When its last byte was read.
};

/// What sessions share: limits, handlers and the set of open ones.
struct ServerContext
{
	/// Handles a request; it is answered on the session at any later time.
	std::function<void(const ServerSessionPtr&, IncomingRequest&&)> onRequest;
	/// Makes the answer to bytes that are no acceptable request.
	std::function<HttpAnswer(ParseFault)> onMalformed;
	/// Makes the answer to a request that did not arrive in time.
	std::function<HttpAnswer()> onTimeout;
	/// @returns the limits in force.
	std::function<RequestLimits()> limits;
	/// @returns monotonic time.
	std::function<Micros()> now;
	std::size_t bufferedBytes = 0; ///< Bodies that are held.
	bool stopping = false;         ///< Each answer is the last of its connection.
	std::unordered_set<ServerSessionPtr> sessions;
};

/// One caller's connection.
class ServerSession : public std::enable_shared_from_this<ServerSession>
{
public:
	ServerSession(std::shared_ptr<ServerContext> _context, TcpConnection::Ptr _connection);

	/// Begins to read requests.
	void start();

	/// Sets what is called when the caller leaves before its answer is whole; cleared by the answer's end.
	void setGoneHandler(std::function<void()> _onGone);

	/// Sets what is called when the caller has taken all bytes that were sent.
	void setDrainedHandler(std::function<void()> _onDrained);

	/// Answers the present request whole.
	/// @param[in] closeAfter The connection ends with this answer.
	void answer(const HttpAnswer& _answer, bool _closeAfter = false);

	/// Starts an answer of unknown length.
	void startAnswer(unsigned _status, const HttpHeaders& _headers, std::string_view _firstBytes);

	/// Adds bytes to an answer that was started.
	void sendPiece(std::string_view _bytes);

	/// Ends an answer that was started.
	void finishAnswer();

	/// Ends the connection so that the answer cannot be taken for whole.
	void abort();

	/// @returns bytes that the caller has not taken.
	std::size_t unsent() const;

	/// Closes the connection where no request is being read or answered.
	void closeIfIdle();

	/// @returns whether a request is being read or answered.
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
	void refuse(const HttpAnswer& _answer);
	void onTimer();
	void armTimer(Micros _span);
	void nextRequest();
	void end();
	std::string formatHead(unsigned _status, const HttpHeaders& _headers, bool _keepAlive) const;
	bool mayKeepAlive(bool _closeAfter) const;

	std::shared_ptr<ServerContext> m_context;
	TcpConnection::Ptr m_connection;
	std::unique_ptr<MessageParser> m_parser;
	std::string m_input;
	std::string m_body;
	std::size_t m_counted = 0;
	std::function<void()> m_onGone;
	std::function<void()> m_onDrained;
	boost::asio::steady_timer m_timer;
	Phase m_phase = Phase::Reading;
	unsigned m_version = 11;
	bool m_requestKeepsAlive = true;
	bool m_noBody = false;
	bool m_chunked = false;
	bool m_keepAlive = true;
	bool m_expectHandled = false;
};

/// Accepts connections for a context.
class ServerListener
{
public:
	/// Binds and listens.
	/// @throws Error SettingInvalid where the address cannot be bound.
	ServerListener(boost::asio::io_context& _context, const Address& _address,
				   std::shared_ptr<ServerContext> _shared);

	/// Takes no further connections.
	void close();

	/// @returns the port in use, also where 0 was asked for.
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
