// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/httpchannel.h"

#include "beacongate/limits.h"
#include "transport/forwarding.h"

#include <boost/asio/post.hpp>

namespace beacongate
{
namespace asio = boost::asio;
using BoostError = boost::system::error_code;

namespace
{
constexpr std::size_t kAnswerHeaderBytes = 16u << 10;
constexpr unsigned kOk = 200;
} // namespace

std::string_view toString(ChannelFault _fault)
{
	switch (_fault)
	{
	case ChannelFault::None:
		return "none";
	case ChannelFault::TimedOut:
		return "silent";
	case ChannelFault::Busy:
		return "busy";
	case ChannelFault::CallRejected:
		return "turned-away";
	}
	return "unknown";
}

std::string formatRequest(const ChannelRequest& _request, const Address& _address)
{
	std::string bytes = _request.method + ' ' + _request.target + " HTTP/1.1\r\n";
	bytes += "Host: " + _address.host + ':' + std::to_string(_address.port) + "\r\n";
	appendHeaders(bytes, _request.headers);
	if (!_request.body.empty() || _request.method == "POST")
	{
		bytes += "Content-Length: " + std::to_string(_request.body.size()) + "\r\n";
	}
	bytes += "\r\n";
	bytes += _request.body;
	return bytes;
}

HttpChannel::HttpChannel(asio::io_context& _context, Address _address, std::size_t _answerLimit)
	: m_context(_context), m_address(std::move(_address)), m_answerLimit(_answerLimit), m_timer(_context)
{
}

void HttpChannel::call(ChannelRequest _request, Micros _timeout, Handler _handler, MaySend _maySend)
{
	if (m_closed || m_queue.size() >= limits::kPendingCalls)
	{
		asio::post(m_context, [handler = std::move(_handler)] { handler(std::nullopt); });
		return;
	}
	m_queue.push_back({std::move(_request), _timeout, std::move(_handler), std::move(_maySend)});
	if (!m_busy)
	{
		m_busy = true;
		asio::post(m_context, [self = shared_from_this()] { self->startNextCall(); });
	}
}

void HttpChannel::close()
{
	m_closed = true;
	m_queue.clear();
	m_timer.cancel();
	dropConnection();
}

void HttpChannel::startNextCall()
{
	if (m_closed || m_queue.empty())
	{
		m_busy = false;
		return;
	}
	++m_callNumber;
	m_extensionEnd =
		std::chrono::steady_clock::now() + std::chrono::microseconds(m_queue.front().request.maxDuration);
	armTimer();
	m_reused = m_connection && !m_connection->closed();
	if (m_reused)
	{
		sendRequest();
		return;
	}
	connect();
}

void HttpChannel::armTimer()
{
	m_timer.expires_after(std::chrono::microseconds(m_queue.front().timeout));
	m_timer.async_wait(
		[weak = weak_from_this(), callNumber = m_callNumber](const BoostError& _error)
		{
			const auto self = weak.lock();
			if (!_error && self && self->m_busy && self->m_callNumber == callNumber)
			{
				self->dropConnection();
				self->fail(ChannelFault::TimedOut);
			}
		});
}

void HttpChannel::connect()
{
	TcpConnection::open(
		m_context, m_address, m_queue.front().timeout, 2 * kSecond,
		[self = shared_from_this(), callNumber = m_callNumber](const TcpConnection::Ptr& _connection, ConnectResult)
		{
			if (self->m_closed || self->m_callNumber != callNumber || !self->m_busy)
			{
				if (_connection)
				{
					_connection->close();
				}
				return;
			}
			if (!_connection)
			{
				const bool beforeTimeout = std::chrono::steady_clock::now() < self->m_timer.expiry();
				self->fail(beforeTimeout ? ChannelFault::CallRejected : ChannelFault::TimedOut);
				return;
			}
			self->m_connection = _connection;
			ConnectionHandlers handlers;
			std::weak_ptr<HttpChannel> weak = self;
			handlers.onBytes = [weak](std::string_view _bytes)
			{
				if (const auto channel = weak.lock())
				{
					channel->onBytes(_bytes);
				}
			};
			handlers.onEnd = [weak](ConnectionEnd _end)
			{
				if (const auto channel = weak.lock())
				{
					channel->onEnd(_end);
				}
			};
			_connection->start(std::move(handlers));
			self->sendRequest();
		});
}

void HttpChannel::sendRequest()
{
	const Pending& pending = m_queue.front();
	if (pending.maySend && !pending.maySend())
	{
		fail(ChannelFault::None);
		return;
	}
	m_input.clear();
	m_body.clear();
	m_parser = std::make_unique<MessageParser>(MessageKind::Answer, kAnswerHeaderBytes, m_answerLimit);
	m_connection->send(formatRequest(pending.request, m_address));
}

void HttpChannel::onBytes(std::string_view _bytes)
{
	if (!m_busy || !m_parser)
	{
		// The server sent bytes without a request, so they could be taken for the answer to a later call.
		dropConnection();
		return;
	}
	m_input.append(_bytes);
	const std::size_t consumed = m_parser->consume(m_input, m_body);
	m_input.erase(0, consumed);
	if (m_parser->fault() != ParseFault::None)
	{
		dropConnection();
		fail(ChannelFault::CallRejected);
		return;
	}
	const bool succeeded = m_parser->headDone() && m_parser->head().status == kOk;
	if (succeeded && m_queue.front().request.onProgress)
	{
		m_queue.front().request.onProgress();
	}
	if (!m_parser->done())
	{
		if (std::chrono::steady_clock::now() < m_extensionEnd)
		{
			armTimer();
		}
		return;
	}
	HttpAnswer answer;
	answer.status = m_parser->head().status;
	answer.headers = m_parser->head().headers;
	answer.body = std::move(m_body);
	if (!m_parser->head().keepAlive || !m_input.empty())
	{
		dropConnection();
	}
	m_fault = ChannelFault::None;
	finish(std::move(answer));
}

void HttpChannel::onEnd(ConnectionEnd _end)
{
	const bool awaitingAnswer = m_busy && m_parser;
	const bool mayEndAtClose = awaitingAnswer && _end == ConnectionEnd::Closed && m_parser->headDone();
	m_connection = nullptr;
	if (!awaitingAnswer)
	{
		return;
	}
	if (mayEndAtClose)
	{
		m_parser->finishAtEnd();
		if (m_parser->done())
		{
			HttpAnswer answer;
			answer.status = m_parser->head().status;
			answer.headers = m_parser->head().headers;
			answer.body = std::move(m_body);
			m_fault = ChannelFault::None;
			finish(std::move(answer));
			return;
		}
	}
	const bool retryable = m_reused && !m_parser->started() && m_queue.front().request.method == "GET";
	if (retryable)
	{
		// The server had closed the persistent connection; a GET is idempotent and is sent again on a new one.
		m_reused = false;
		m_parser = nullptr;
		connect();
		return;
	}
	fail(ChannelFault::CallRejected);
}

void HttpChannel::fail(ChannelFault _fault)
{
	m_fault = _fault;
	finish(std::nullopt);
}

void HttpChannel::finish(std::optional<HttpAnswer> _answer)
{
	m_timer.cancel();
	m_parser = nullptr;
	m_body.clear();
	m_body.shrink_to_fit();
	m_input.shrink_to_fit();
	const Handler handler = std::move(m_queue.front().handler);
	m_queue.pop_front();
	++m_callNumber;
	const auto self = shared_from_this();
	handler(std::move(_answer));
	asio::post(m_context, [self] { self->startNextCall(); });
}

void HttpChannel::dropConnection()
{
	if (m_connection)
	{
		m_connection->close();
		m_connection = nullptr;
	}
}

} // namespace beacongate
