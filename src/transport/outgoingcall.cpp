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
/// Answers with a status of 1xx before the final one; a server that sends more does not come to an end.
constexpr unsigned kMaxInterimAnswers = 16;

std::unique_ptr<MessageParser> makeParser(bool _noBody)
{
	auto parser = std::make_unique<MessageParser>(MessageKind::Answer, kAnswerHeaderBytes,
												  std::numeric_limits<std::size_t>::max());
	if (_noBody)
	{
		parser->expectNoBody();
	}
	return parser;
}

bool isInterim(const MessageHead& _head)
{
	return _head.status >= 100 && _head.status < 200;
}
} // namespace

OutgoingCall::OutgoingCall(CallHandlers _handlers) : m_handlers(std::move(_handlers))
{
}

OutgoingCall::Ptr OutgoingCall::start(boost::asio::io_context& _context, const CallOptions& _options,
									  std::string _bytes, CallHandlers _handlers)
{
	auto call = std::make_shared<OutgoingCall>(std::move(_handlers));
	auto onConnected = [call, bytes = std::move(_bytes), noBody = _options.noBody](const CallConnection& _opened)
	{
		call->onConnected(_opened, bytes, noBody);
	};
	if (_options.connect)
	{
		_options.connect(std::move(onConnected));
		return call;
	}
	TcpConnection::open(_context, _options.address, _options.connectSpan, _options.userTimeout,
						[onConnected](const TcpConnection::Ptr& _connection, ConnectResult _result) {
							onConnected({_connection, _result});
						});
	return call;
}

void OutgoingCall::onConnected(const CallConnection& _opened, const std::string& _bytes, bool _noBody)
{
	if (m_ended)
	{
		if (_opened.connection)
		{
			_opened.connection->close();
		}
		return;
	}
	if (!_opened.connection)
	{
		fail(_opened.result == ConnectResult::Refused ? CallFault::Refused : CallFault::NotSent);
		return;
	}
	if (m_handlers.maySend && !m_handlers.maySend())
	{
		_opened.connection->close();
		fail(CallFault::NotSent);
		return;
	}
	m_connection = _opened.connection;
	m_endSignal = _opened.endSignal;
	m_noBody = _noBody;
	m_parser = makeParser(_noBody);
	ConnectionHandlers handlers;
	const auto self = shared_from_this();
	handlers.onBytes = [self](std::string_view _received)
	{
		self->onBytes(_received);
	};
	handlers.onEnd = [self](ConnectionEnd _end)
	{
		self->onConnectionEnd(_end);
	};
	m_connection->start(std::move(handlers));
	m_connection->send(_bytes);
	if (m_handlers.onSent)
	{
		m_handlers.onSent();
	}
	if (!_opened.received.empty())
	{
		onBytes(_opened.received);
	}
}

void OutgoingCall::onBytes(std::string_view _bytes)
{
	if (m_ended)
	{
		return;
	}
	if (m_endSignal != EndSignal::Frame)
	{
		m_input.append(_bytes);
		parse();
		return;
	}
	m_input.append(m_frames.consume(_bytes));
	parse();
	if (!m_ended && m_frames.end() != TunnelEnd::Open)
	{
		onTunnelEnd();
	}
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
			if (++m_interimAnswers > kMaxInterimAnswers)
			{
				fail(CallFault::Malformed);
				return;
			}
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

void OutgoingCall::onTunnelEnd()
{
	if (m_frames.end() == TunnelEnd::Invalid)
	{
		fail(CallFault::PathLost);
		return;
	}
	onServerEnd(m_frames.end() == TunnelEnd::Closed ? ConnectionEnd::Closed : ConnectionEnd::Broken);
}

void OutgoingCall::onConnectionEnd(ConnectionEnd _end)
{
	if (m_ended)
	{
		return;
	}
	switch (m_endSignal)
	{
	case EndSignal::Connection:
		onServerEnd(_end);
		return;
	case EndSignal::Frame:
		fail(CallFault::PathLost);
		return;
	case EndSignal::None:
		// A probe of the server tells whether it was the server that ended.
		fail(CallFault::Broken);
		return;
	}
}

void OutgoingCall::onServerEnd(ConnectionEnd _end)
{
	if (_end == ConnectionEnd::Closed)
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

void OutgoingCall::fail(CallFault _fault)
{
	const auto handler = std::move(m_handlers.onFault);
	cancel();
	handler(_fault);
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
		// A running handler may own this call, so the handlers are destroyed after it has returned.
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
