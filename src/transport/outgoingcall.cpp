// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/outgoingcall.h"

#include "beacongate/limits.h"

#include <limits>

namespace beacongate
{
namespace
{
constexpr std::size_t kAnswerHeaderBytes = 32u << 10;

std::unique_ptr<MessageParser> makeParser(bool noBody)
{
	auto parser = std::make_unique<MessageParser>(MessageKind::Answer, kAnswerHeaderBytes,
												  std::numeric_limits<std::size_t>::max());
	if (noBody)
	{
		parser->expectNoBody();
	}
	return parser;
}

bool isInterim(const MessageHead& head)
{
	return head.status >= 100 && head.status < 200;
}
} // namespace

OutgoingCall::OutgoingCall(CallHandlers handlers) : m_handlers(std::move(handlers))
{
}

OutgoingCall::Ptr OutgoingCall::start(boost::asio::io_context& context, const CallOptions& options,
									  std::string bytes, CallHandlers handlers)
{
	auto call = std::make_shared<OutgoingCall>(std::move(handlers));
	TcpConnection::open(
		context, options.address, options.connectSpan, options.userTimeout,
		[call, bytes = std::move(bytes), noBody = options.noBody](const TcpConnection::Ptr& connection)
		{ call->onConnected(connection, bytes, noBody); });
	return call;
}

void OutgoingCall::onConnected(const TcpConnection::Ptr& connection, const std::string& bytes, bool noBody)
{
	if (m_ended)
	{
		if (connection)
		{
			connection->close();
		}
		return;
	}
	if (!connection)
	{
		fail(CallFault::NotSent);
		return;
	}
	if (m_handlers.maySend && !m_handlers.maySend())
	{
		connection->close();
		fail(CallFault::NotSent);
		return;
	}
	m_connection = connection;
	m_noBody = noBody;
	m_parser = makeParser(noBody);
	ConnectionHandlers handlers;
	const auto self = shared_from_this();
	handlers.onBytes = [self](std::string_view received)
	{
		self->onBytes(received);
	};
	handlers.onEnd = [self](ConnectionEnd how)
	{
		self->onEnd(how);
	};
	m_connection->start(std::move(handlers));
	m_connection->send(bytes);
	if (m_handlers.onSent)
	{
		m_handlers.onSent();
	}
}

void OutgoingCall::onBytes(std::string_view bytes)
{
	if (m_ended)
	{
		return;
	}
	m_input.append(bytes);
	parse();
}

void OutgoingCall::parse()
{
	const auto self = shared_from_this();
	while (!m_ended)
	{
		std::string body;
		const std::size_t consumed = m_parser->consume(m_input, body);
		m_input.erase(0, consumed);
		if (m_parser->headDone() && isInterim(m_parser->head()) && m_parser->done())
		{
			m_parser = makeParser(m_noBody);
			continue;
		}
		if (m_parser->headDone() && !m_headReported)
		{
			m_headReported = true;
			m_handlers.onHead(m_parser->head());
		}
		if (!body.empty() && !m_ended)
		{
			m_handlers.onBody(body);
		}
		if (m_ended)
		{
			return;
		}
		if (m_parser->fault() != ParseFault::None)
		{
			fail(CallFault::Malformed);
		}
		else if (m_parser->done())
		{
			finish();
		}
		return;
	}
}

void OutgoingCall::onEnd(ConnectionEnd how)
{
	if (m_ended)
	{
		return;
	}
	if (how == ConnectionEnd::Closed)
	{
		m_parser->finishAtEnd();
		if (m_parser->done())
		{
			finish();
			return;
		}
	}
	fail(CallFault::Broken);
}

void OutgoingCall::fail(CallFault fault)
{
	const auto handler = std::move(m_handlers.onFault);
	cancel();
	handler(fault);
}

void OutgoingCall::finish()
{
	const auto handler = std::move(m_handlers.onDone);
	cancel();
	handler();
}

void OutgoingCall::cancel()
{
	if (m_ended)
	{
		return;
	}
	m_ended = true;
	if (m_connection)
	{
		m_connection->close();
		// Handlers may be running and own this call: they are dropped once they have returned.
		boost::asio::post(m_connection->executor(), [self = shared_from_this()] { self->m_handlers = {}; });
		return;
	}
	m_handlers = {};
}

void OutgoingCall::pause()
{
	if (m_connection && !m_ended)
	{
		m_connection->pauseReading();
	}
}

void OutgoingCall::resume()
{
	if (m_connection && !m_ended)
	{
		m_connection->resumeReading();
	}
}

} // namespace beacongate
