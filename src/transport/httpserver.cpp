// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/httpserver.h"

#include "transport/ioloop_p.h"

#include "beacongate/limits.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <set>
#include <unordered_map>

namespace beacongate
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

std::string_view findHeader(const HttpHeaders& _headers, std::string_view _name)
{
	for (const auto& [name, value] : _headers)
	{
		if (beast::iequals(name, {_name.data(), _name.size()}))
		{
			return value;
		}
	}
	return {};
}

namespace
{
/// A connection that waits for a request or for more of its body is closed after this time.
constexpr std::chrono::seconds kIdleTimeout{120};
/// A client whose pending write takes longer than this is treated as disconnected.
constexpr std::chrono::seconds kWriteTimeout{60};

/// Maximum bytes that are read and discarded after a rejected request.
constexpr std::size_t kDiscardBytes = 64u << 20;
constexpr std::size_t kDiscardBuffer = 64u << 10;
constexpr std::chrono::seconds kDiscardTimeout{5};

/// Part of an answer that is queued for writing.
struct AnswerPart
{
	enum class Kind
	{
		Complete,
		Head,
		Chunk,
		End,
		Abort,
	};
	Kind kind = Kind::Complete;
	HttpAnswer answer; ///< Chunk uses only the body; End uses only the headers, as trailers.
};

struct Session
{
	explicit Session(tcp::socket _socket)
		: stream(std::move(_socket)), wakeup(stream.get_executor(), asio::steady_timer::time_point::max())
	{
	}

	beast::tcp_stream stream;
	beast::flat_buffer buffer;
	asio::steady_timer wakeup; ///< Cancelled to wake the writer when a part is queued or the client disconnects.
	std::deque<AnswerPart> outbox;
	ExchangeId exchange = 0; ///< 0 while no request is being answered.
	bool disconnected = false;
};

using SessionPtr = std::shared_ptr<Session>;

HttpRequest toHttpRequest(http::request<http::string_body>&& _message)
{
	HttpRequest request;
	request.method = std::string(_message.method_string());
	request.target = std::string(_message.target());
	for (const auto& field : _message)
	{
		request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
	}
	request.body = std::move(_message.body());
	return request;
}

template <typename Message> void setHead(Message& _message, const HttpAnswer& _answer, bool _keepAlive)
{
	_message.version(11);
	_message.result(_answer.status);
	_message.keep_alive(_keepAlive);
	for (const auto& [name, value] : _answer.headers)
	{
		_message.set(name, value);
	}
}
} // namespace

struct HttpServerImpl : std::enable_shared_from_this<HttpServerImpl>
{
	HttpServerImpl(IoLoop& _loop, HttpServerHandlers _handlers, std::size_t _bodyLimit, Micros _headerTimeout)
		: context(_loop.impl().context), acceptor(context), handlers(std::move(_handlers)), bodyLimit(_bodyLimit),
		  headerTimeout(std::chrono::microseconds(_headerTimeout))
	{
	}

	asio::awaitable<void> accept();
	asio::awaitable<void> serve(SessionPtr _session);
	asio::awaitable<bool> readRequest(SessionPtr _session, HttpRequest& _request, bool& _keepAlive);
	asio::awaitable<void> discardRest(SessionPtr _session);
	asio::awaitable<bool> answer(SessionPtr _session, bool _keepAlive);
	asio::awaitable<bool> write(SessionPtr _session, AnswerPart _part, bool _keepAlive);
	void watchForDisconnect(const SessionPtr& _session);
	void enqueue(ExchangeId _exchange, AnswerPart _part);

	asio::io_context& context;
	tcp::acceptor acceptor;
	HttpServerHandlers handlers;
	std::size_t bodyLimit;
	std::chrono::microseconds headerTimeout;
	std::unordered_map<ExchangeId, SessionPtr> exchanges;
	std::set<SessionPtr> sessions;
	ExchangeId nextExchange = 1;
	std::atomic<bool> stopping = false;
	std::atomic<std::size_t> open = 0;
};

asio::awaitable<void> HttpServerImpl::accept()
{
	const auto self = shared_from_this();
	while (acceptor.is_open())
	{
		boost::system::error_code error;
		tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
		if (error)
		{
			if (asio::error::operation_aborted == error || !acceptor.is_open())
			{
				co_return;
			}
			// The process may be out of file descriptors: retry after a pause, when connections may have ended.
			asio::steady_timer pause(context, std::chrono::milliseconds(10));
			co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
			continue;
		}
		socket.set_option(tcp::no_delay(true), error);
		asio::co_spawn(context, serve(std::make_shared<Session>(std::move(socket))), asio::detached);
	}
}

asio::awaitable<bool> HttpServerImpl::readRequest(SessionPtr _session, HttpRequest& _request, bool& _keepAlive)
{
	http::request_parser<http::string_body> parser;
	parser.header_limit(limits::kRequestHeaderBytes);
	parser.body_limit(bodyLimit);
	boost::system::error_code error;
	if (_session->buffer.size() == 0)
	{
		_session->stream.expires_after(kIdleTimeout);
		const auto readSpace = _session->buffer.prepare(limits::kReadBytes);
		const std::size_t count =
			co_await _session->stream.async_read_some(readSpace, asio::redirect_error(asio::use_awaitable, error));
		_session->buffer.commit(count);
	}
	if (!error)
	{
		_session->stream.expires_after(headerTimeout);
		co_await http::async_read_header(_session->stream, _session->buffer, parser,
										 asio::redirect_error(asio::use_awaitable, error));
	}
	if (!error)
	{
		_session->stream.expires_after(kIdleTimeout);
		co_await http::async_read(_session->stream, _session->buffer, parser,
								  asio::redirect_error(asio::use_awaitable, error));
	}
	if (!error)
	{
		_keepAlive = parser.get().keep_alive();
		_request = toHttpRequest(parser.release());
		co_return true;
	}
	const bool ended = http::error::end_of_stream == error || http::error::partial_message == error ||
					   error.category() != make_error_code(http::error::bad_method).category();
	if (!ended)
	{
		const bool tooLarge = http::error::body_limit == error || http::error::header_limit == error;
		const Failure failure = tooLarge ? Failure::BodyTooLarge : Failure::MalformedRequest;
		AnswerPart part;
		part.answer = handlers.onMalformed(failure, error.message());
		co_await write(_session, std::move(part), false);
		co_await discardRest(_session);
	}
	co_return false;
}

asio::awaitable<void> HttpServerImpl::discardRest(SessionPtr _session)
{
	// Closing with unread bytes would reset the connection, and the client would lose the answer.
	boost::system::error_code error;
	_session->stream.socket().shutdown(tcp::socket::shutdown_send, error);
	_session->stream.expires_after(kDiscardTimeout);
	std::vector<char> scratch(kDiscardBuffer);
	std::size_t discarded = 0;
	while (!error && discarded < kDiscardBytes)
	{
		discarded += co_await _session->stream.async_read_some(asio::buffer(scratch),
															   asio::redirect_error(asio::use_awaitable, error));
	}
}

asio::awaitable<void> HttpServerImpl::serve(SessionPtr _session)
{
	const auto self = shared_from_this();
	sessions.insert(_session);
	++open;
	bool keepOpen = true;
	while (keepOpen)
	{
		HttpRequest request;
		bool keepAlive = false;
		keepOpen = co_await readRequest(_session, request, keepAlive);
		if (!keepOpen)
		{
			break;
		}
		const ExchangeId exchange = nextExchange++;
		_session->exchange = exchange;
		_session->stream.expires_never();
		exchanges.emplace(exchange, _session);
		watchForDisconnect(_session);
		handlers.onRequest(exchange, std::move(request));
		keepOpen = co_await answer(_session, keepAlive);
		exchanges.erase(exchange);
		_session->exchange = 0;
		if (_session->disconnected)
		{
			handlers.onDisconnected(exchange);
		}
		_session->outbox.clear();
	}
	boost::system::error_code ignored;
	_session->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
	_session->stream.close();
	sessions.erase(_session);
	--open;
}

asio::awaitable<bool> HttpServerImpl::answer(SessionPtr _session, bool _keepAlive)
{
	while (true)
	{
		while (_session->outbox.empty() && !_session->disconnected)
		{
			boost::system::error_code ignored;
			co_await _session->wakeup.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
		}
		if (_session->disconnected)
		{
			co_return false;
		}
		AnswerPart part = std::move(_session->outbox.front());
		_session->outbox.pop_front();
		const AnswerPart::Kind kind = part.kind;
		if (AnswerPart::Kind::Abort == kind)
		{
			co_return false;
		}
		const bool keepAlive = _keepAlive && !stopping;
		const bool written = co_await write(_session, std::move(part), keepAlive);
		if (!written)
		{
			_session->disconnected = true;
			co_return false;
		}
		if (AnswerPart::Kind::Complete == kind || AnswerPart::Kind::End == kind)
		{
			co_return keepAlive;
		}
	}
}

asio::awaitable<bool> HttpServerImpl::write(SessionPtr _session, AnswerPart _part, bool _keepAlive)
{
	boost::system::error_code error;
	auto token = asio::redirect_error(asio::use_awaitable, error);
	beast::tcp_stream& stream = _session->stream;
	stream.expires_after(kWriteTimeout);
	switch (_part.kind)
	{
	case AnswerPart::Kind::Complete:
	{
		http::response<http::string_body> message;
		setHead(message, _part.answer, _keepAlive);
		message.body() = std::move(_part.answer.body);
		message.prepare_payload();
		co_await http::async_write(stream, message, token);
		break;
	}
	case AnswerPart::Kind::Head:
	{
		http::response<http::empty_body> message;
		setHead(message, _part.answer, _keepAlive);
		message.chunked(true);
		http::response_serializer<http::empty_body> serializer(message);
		co_await http::async_write_header(stream, serializer, token);
		break;
	}
	case AnswerPart::Kind::Chunk:
		// Queued chunks are merged into one.
		while (!_session->outbox.empty() && AnswerPart::Kind::Chunk == _session->outbox.front().kind)
		{
			_part.answer.body += _session->outbox.front().answer.body;
			_session->outbox.pop_front();
		}
		co_await asio::async_write(stream, http::make_chunk(asio::buffer(_part.answer.body)), token);
		break;
	case AnswerPart::Kind::End:
	{
		http::fields trailers;
		for (const auto& [name, value] : _part.answer.headers)
		{
			trailers.set(name, value);
		}
		co_await asio::async_write(stream, http::make_chunk_last(trailers), token);
		break;
	}
	case AnswerPart::Kind::Abort:
		break;
	}
	stream.expires_never();
	co_return !error;
}

void HttpServerImpl::watchForDisconnect(const SessionPtr& _session)
{
	const ExchangeId exchange = _session->exchange;
	const std::weak_ptr<Session> weak = _session;
	_session->stream.socket().async_wait(tcp::socket::wait_read,
										 [weak, exchange](const boost::system::error_code&)
										 {
											 const SessionPtr session = weak.lock();
											 if (nullptr == session || session->exchange != exchange)
											 {
												 return;
											 }
											 boost::system::error_code error;
											 if (0 == session->stream.socket().available(error) || error)
											 {
												 session->disconnected = true;
												 session->wakeup.cancel();
											 }
										 });
}

void HttpServerImpl::enqueue(ExchangeId _exchange, AnswerPart _part)
{
	const auto it = exchanges.find(_exchange);
	if (exchanges.end() == it)
	{
		return;
	}
	it->second->outbox.push_back(std::move(_part));
	it->second->wakeup.cancel();
}

HttpServer::HttpServer(IoLoop& _loop, HttpServerHandlers _handlers, std::size_t _bodyLimit, Micros _headerTimeout)
	: m_impl(std::make_shared<HttpServerImpl>(_loop, std::move(_handlers), _bodyLimit, _headerTimeout))
{
}

HttpServer::~HttpServer() = default;

void HttpServer::init(const Address& _address)
{
	boost::system::error_code error;
	const tcp::endpoint endpoint(asio::ip::make_address(_address.host, error), _address.port);
	if (!error)
	{
		m_impl->acceptor.open(endpoint.protocol(), error);
	}
	if (!error)
	{
		m_impl->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
		m_impl->acceptor.bind(endpoint, error);
	}
	if (!error)
	{
		m_impl->acceptor.listen(asio::socket_base::max_listen_connections, error);
	}
	if (error)
	{
		throw Error(Failure::SettingInvalid, "cannot listen on " + _address.host + ":" +
												 std::to_string(_address.port) + ": " + error.message());
	}
	asio::co_spawn(m_impl->context, m_impl->accept(), asio::detached);
}

void HttpServer::stopListening()
{
	m_impl->stopping = true;
	asio::post(m_impl->context,
			   [impl = m_impl]
			   {
				   boost::system::error_code ignored;
				   impl->acceptor.close(ignored);
				   for (const SessionPtr& session : impl->sessions)
				   {
					   if (0 == session->exchange)
					   {
						   session->stream.cancel();
					   }
				   }
			   });
}

std::uint16_t HttpServer::port() const
{
	return m_impl->acceptor.local_endpoint().port();
}

std::size_t HttpServer::connections() const
{
	return m_impl->open;
}

void HttpServer::send(ExchangeId _exchange, HttpAnswer _answer)
{
	m_impl->enqueue(_exchange, AnswerPart{AnswerPart::Kind::Complete, std::move(_answer)});
}

void HttpServer::startStream(ExchangeId _exchange, unsigned _status, HttpHeaders _headers)
{
	m_impl->enqueue(_exchange, AnswerPart{AnswerPart::Kind::Head, HttpAnswer{_status, std::move(_headers), {}}});
}

void HttpServer::sendChunk(ExchangeId _exchange, std::string _bytes)
{
	m_impl->enqueue(_exchange, AnswerPart{AnswerPart::Kind::Chunk, HttpAnswer{200, {}, std::move(_bytes)}});
}

void HttpServer::endStream(ExchangeId _exchange, HttpHeaders _trailers)
{
	m_impl->enqueue(_exchange, AnswerPart{AnswerPart::Kind::End, HttpAnswer{200, std::move(_trailers), {}}});
}

void HttpServer::abortAnswer(ExchangeId _exchange)
{
	m_impl->enqueue(_exchange, AnswerPart{AnswerPart::Kind::Abort, {}});
}

} // namespace beacongate
