// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/serversession.h"

#include "beacongate/errors.h"
#include "beacongate/limits.h"
#include "transport/forwarding.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <charconv>

namespace beacongate
{
namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using BoostError = boost::system::error_code;

namespace
{
constexpr Micros kClientUserTimeout = 5 * kSecond;
constexpr Micros kAcceptRetryDelay = 50 * kMillisecond;
constexpr std::size_t kMaxPipelinedBytes = 64u << 10;
/// A body up to this size is sent together with the head; a larger one is not copied.
constexpr std::size_t kJoinedBodyBytes = 64u << 10;

void appendChunk(std::string& _out, std::string_view _bytes)
{
	if (_bytes.empty())
	{
		return;
	}
	char digits[16];
	const auto written = std::to_chars(digits, digits + sizeof digits, _bytes.size(), 16);
	_out.append(digits, written.ptr);
	_out += "\r\n";
	_out += _bytes;
	_out += "\r\n";
}

bool hasNoBody(unsigned _status)
{
	return _status == 204 || _status == 304 || (_status >= 100 && _status < 200);
}
} // namespace

ServerSession::ServerSession(std::shared_ptr<ServerContext> _context, TcpConnection::Ptr _connection)
	: m_context(std::move(_context)), m_connection(std::move(_connection)), m_timer(m_connection->executor())
{
}

void ServerSession::start()
{
	m_context->sessions.insert(shared_from_this());
	ConnectionHandlers handlers;
	const auto self = shared_from_this();
	handlers.onBytes = [self](std::string_view _bytes)
	{
		self->onBytes(_bytes);
	};
	handlers.onEnd = [self](ConnectionEnd /*end*/)
	{
		self->end();
	};
	handlers.onDrained = [self]
	{
		self->m_held->clear();
		if (self->m_onDrained)
		{
			self->m_onDrained();
		}
	};
	nextRequest();
	m_connection->start(std::move(handlers));
}

void ServerSession::setDisconnectHandler(std::function<void()> _onDisconnected)
{
	m_onDisconnected = std::move(_onDisconnected);
}

void ServerSession::setDrainedHandler(std::function<void()> _onDrained)
{
	m_onDrained = std::move(_onDrained);
}

void ServerSession::nextRequest()
{
	const RequestLimits limits = m_context->limits();
	m_phase = Phase::Reading;
	m_onDisconnected = nullptr;
	m_onDrained = nullptr;
	m_context->bufferedBytes -= m_bufferedBytes;
	m_bufferedBytes = 0;
	m_body.clear();
	m_body.shrink_to_fit();
	m_headHandled = false;
	m_parser = std::make_unique<MessageParser>(MessageKind::Request, limits.headerBytes, limits.bodyBytes);
	armTimer(limits.idleTimeout);
}

void ServerSession::armTimer(Micros _timeout)
{
	m_timer.expires_after(std::chrono::microseconds(_timeout));
	m_timer.async_wait(
		[weak = weak_from_this()](const BoostError& _error)
		{
			const auto self = weak.lock();
			if (!_error && self)
			{
				self->onTimer();
			}
		});
}

void ServerSession::onTimer()
{
	if (m_phase != Phase::Reading)
	{
		return;
	}
	if (!m_parser->started())
	{
		endAfterSending();
		return;
	}
	rejectRequest(m_context->onTimeout());
}

void ServerSession::onBytes(std::string_view _bytes)
{
	m_input.append(_bytes);
	if (m_phase == Phase::Reading)
	{
		parse();
		return;
	}
	if (m_input.size() > kMaxPipelinedBytes)
	{
		m_connection->pauseReading();
	}
}

void ServerSession::parse()
{
	const bool alreadyStarted = m_parser->started();
	const std::size_t consumed = m_parser->consume(m_input, m_body);
	m_input.erase(0, consumed);
	if (m_input.empty())
	{
		m_input.shrink_to_fit();
	}
	if (m_parser->fault() != ParseFault::None)
	{
		rejectRequest(m_context->onMalformed(m_parser->fault()));
		return;
	}
	if (!alreadyStarted && m_parser->started())
	{
		armTimer(m_context->limits().headerTimeout);
	}
	if (m_parser->headDone())
	{
		onHead();
	}
	m_context->bufferedBytes += m_body.size() - m_bufferedBytes;
	m_bufferedBytes = m_body.size();
	if (m_context->bufferedBytes > limits::kBufferedBytes)
	{
		rejectRequest(m_context->onTimeout());
		return;
	}
	if (!m_parser->done())
	{
		return;
	}
	m_timer.cancel();
	IncomingRequest request;
	request.head = m_parser->head();
	request.body = std::move(m_body);
	request.received = m_context->now();
	m_phase = Phase::Working;
	m_version = request.head.version;
	m_requestKeepsAlive = request.head.keepAlive;
	m_noBody = request.head.method == "HEAD";
	m_context->onRequest(shared_from_this(), std::move(request));
}

void ServerSession::onHead()
{
	if (m_headHandled)
	{
		return;
	}
	m_headHandled = true;
	armTimer(m_context->limits().idleTimeout);
	const std::string_view expect = findHeader(m_parser->head().headers, "Expect");
	if (!m_parser->done() && beast::iequals({expect.data(), expect.size()}, "100-continue"))
	{
		m_connection->send("HTTP/1.1 100 Continue\r\n\r\n");
	}
}

void ServerSession::rejectRequest(const HttpAnswer& _answer)
{
	m_phase = Phase::Working;
	m_requestKeepsAlive = false;
	this->answer(_answer, true);
}

bool ServerSession::mayKeepAlive(bool _closeAfter) const
{
	return m_requestKeepsAlive && !_closeAfter && !m_context->stopping;
}

std::string ServerSession::formatHead(unsigned _status, const HttpHeaders& _headers, bool _keepAlive) const
{
	std::string head = "HTTP/1.1 " + std::to_string(_status) + ' ';
	const auto reason = beast::http::obsolete_reason(static_cast<beast::http::status>(_status));
	head.append(reason.data(), reason.size());
	head += "\r\n";
	appendHeaders(head, _headers);
	if (!_keepAlive)
	{
		head += "Connection: close\r\n";
	}
	else if (m_version == 10)
	{
		head += "Connection: keep-alive\r\n";
	}
	return head;
}

void ServerSession::answer(HttpAnswer _answer, bool _closeAfter)
{
	if (m_phase != Phase::Working)
	{
		return;
	}
	const bool keepAlive = mayKeepAlive(_closeAfter);
	std::string bytes = formatHead(_answer.status, _answer.headers, keepAlive);
	if (!hasNoBody(_answer.status))
	{
		bytes += "Content-Length: " + std::to_string(_answer.body.size()) + "\r\n";
	}
	bytes += "\r\n";
	const bool hasBody = !m_noBody && !hasNoBody(_answer.status) && !_answer.body.empty();
	if (hasBody && _answer.body.size() <= kJoinedBodyBytes)
	{
		bytes += _answer.body;
	}
	m_connection->send(bytes);
	if (hasBody && _answer.body.size() > kJoinedBodyBytes)
	{
		m_connection->sendOwned(std::move(_answer.body));
	}
	m_keepAlive = keepAlive;
	m_phase = Phase::Answering;
	finishAnswer();
}

void ServerSession::startAnswer(unsigned _status, const HttpHeaders& _headers, std::string_view _firstBytes)
{
	if (m_phase != Phase::Working)
	{
		return;
	}
	// HTTP/1.0 has no chunked encoding, so the end of the connection ends the answer.
	m_keepAlive = mayKeepAlive(false) && m_version == 11;
	std::string bytes = formatHead(_status, _headers, m_keepAlive);
	if (m_version == 11)
	{
		bytes += "Transfer-Encoding: chunked\r\n\r\n";
		appendChunk(bytes, _firstBytes);
	}
	else
	{
		bytes += "\r\n";
		bytes += _firstBytes;
	}
	m_phase = Phase::Answering;
	m_chunked = m_version == 11;
	m_connection->setResetOnLoss(!m_chunked);
	m_connection->send(bytes);
}

void ServerSession::sendBodyPart(std::string_view _bytes)
{
	if (m_phase != Phase::Answering)
	{
		return;
	}
	std::string framed;
	if (m_chunked)
	{
		appendChunk(framed, _bytes);
	}
	else
	{
		framed = _bytes;
	}
	m_connection->send(framed);
}

void ServerSession::finishAnswer()
{
	if (m_phase != Phase::Answering)
	{
		return;
	}
	m_onDisconnected = nullptr;
	if (m_chunked)
	{
		m_connection->send("0\r\n\r\n");
		m_chunked = false;
	}
	if (!m_keepAlive)
	{
		endAfterSending();
		return;
	}
	nextRequest();
	m_connection->resumeReading();
	if (!m_input.empty())
	{
		// Pipelined bytes of the next request are parsed after the current call has returned.
		asio::post(m_connection->executor(),
				   [self = shared_from_this()]
				   {
					   if (self->m_phase == Phase::Reading && !self->m_input.empty())
					   {
						   self->parse();
					   }
				   });
	}
}

void ServerSession::abort()
{
	if (m_phase == Phase::Ended)
	{
		return;
	}
	m_onDisconnected = nullptr;
	m_connection->reset();
	end();
}

TcpConnection::Ptr ServerSession::release()
{
	if (m_phase == Phase::Ended)
	{
		return nullptr;
	}
	m_onDisconnected = nullptr;
	end();
	return m_connection;
}

std::size_t ServerSession::unsent() const
{
	return m_connection->unsent();
}

bool ServerSession::busy() const
{
	return m_phase == Phase::Working || m_phase == Phase::Answering ||
		   (m_phase == Phase::Reading && m_parser->started());
}

void ServerSession::closeIfIdle()
{
	if (!busy() && m_phase == Phase::Reading)
	{
		endAfterSending();
	}
}

void ServerSession::endAfterSending()
{
	++m_context->closing;
	m_connection->closeAfterSending(
		[context = m_context, held = m_held]
		{
			--context->closing;
			held->clear();
		});
	end();
}

void ServerSession::holdUntilSent(std::shared_ptr<void> _object)
{
	if (_object && m_connection->unsent() > 0)
	{
		m_held->push_back(std::move(_object));
	}
}

void ServerSession::end()
{
	if (m_phase == Phase::Ended)
	{
		return;
	}
	m_phase = Phase::Ended;
	m_timer.cancel();
	m_context->bufferedBytes -= m_bufferedBytes;
	m_bufferedBytes = 0;
	const auto self = shared_from_this();
	m_context->sessions.erase(self);
	const auto onDisconnected = std::move(m_onDisconnected);
	m_onDisconnected = nullptr;
	m_onDrained = nullptr;
	if (onDisconnected)
	{
		onDisconnected();
	}
}

ServerListener::ServerListener(asio::io_context& _context, const Address& _address,
							   std::shared_ptr<ServerContext> _shared)
	: m_loop(_context), m_acceptor(_context), m_shared(std::move(_shared)), m_retryTimer(_context)
{
	try
	{
		const tcp::endpoint endpoint(asio::ip::make_address(_address.host), _address.port);
		m_acceptor.open(endpoint.protocol());
		m_acceptor.set_option(tcp::acceptor::reuse_address(true));
		m_acceptor.bind(endpoint);
		m_acceptor.listen();
	}
	catch (const boost::system::system_error& error)
	{
		throw Error(Failure::SettingInvalid, "cannot listen on " + _address.host + ":" +
												 std::to_string(_address.port) + ": " + error.what());
	}
	accept();
}

void ServerListener::close()
{
	BoostError ignored;
	m_acceptor.close(ignored);
	m_retryTimer.cancel();
}

std::uint16_t ServerListener::port() const
{
	return m_acceptor.local_endpoint().port();
}

void ServerListener::accept()
{
	m_acceptor.async_accept(
		[this](const BoostError& _error, tcp::socket _socket)
		{
			if (_error == asio::error::operation_aborted || !m_acceptor.is_open())
			{
				return;
			}
			if (_error)
			{
				// The process is probably out of file descriptors: retry after a pause, when connections may have
				// ended.
				m_retryTimer.expires_after(std::chrono::microseconds(kAcceptRetryDelay));
				m_retryTimer.async_wait(
					[this](const BoostError& _stopped)
					{
						if (!_stopped)
						{
							accept();
						}
					});
				return;
			}
			const auto connection = std::make_shared<TcpConnection>(std::move(_socket), kClientUserTimeout);
			std::make_shared<ServerSession>(m_shared, connection)->start();
			accept();
		});
}

} // namespace beacongate
