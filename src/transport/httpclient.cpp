// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/httpclient.h"

#include "beacongate/limits.h"
#include "transport/ioloop_p.h"
#include "transport/messageparser.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <chrono>
#include <limits>
#include <map>
#include <unordered_map>
#include <vector>

namespace beacongate
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace
{
constexpr Micros kDefaultTimeout = 60 * kSecond;
constexpr std::size_t kAnswerHeaderBytes = 8u << 10;

using StreamPtr = std::shared_ptr<beast::tcp_stream>;

/// State of a call in progress.
struct RunningCall
{
	HttpCall call;
	StreamPtr stream;
	bool cancelled = false;
};

using RunningCallPtr = std::shared_ptr<RunningCall>;

/// An answer that is being read.
struct IncomingAnswer
{
	explicit IncomingAnswer(std::size_t _bodyLimit)
		: parser(MessageKind::Answer, kAnswerHeaderBytes,
				 _bodyLimit == 0 ? std::numeric_limits<std::size_t>::max() : _bodyLimit)
	{
	}

	MessageParser parser;
	std::string input; ///< Bytes that were not parsed yet.
	std::string body;  ///< Parsed bytes of the body that were not passed on yet.
};

http::request<http::string_body> toMessage(const HttpCall& _call)
{
	http::request<http::string_body> message;
	message.version(11);
	message.method_string(_call.method);
	message.target(_call.target);
	message.set(http::field::host, _call.address.host + ":" + std::to_string(_call.address.port));
	for (const auto& [name, value] : _call.headers)
	{
		message.set(name, value);
	}
	message.keep_alive(!_call.ownConnection);
	message.body() = _call.body;
	message.prepare_payload();
	return message;
}
} // namespace

struct HttpClientImpl : std::enable_shared_from_this<HttpClientImpl>
{
	HttpClientImpl(IoLoop& _loop, HttpClientHandlers _handlers)
		: context(_loop.impl().context), handlers(std::move(_handlers))
	{
	}

	enum class AttemptResult
	{
		Ended,
		Stale, ///< The server had closed the pooled connection; the call may be tried again.
	};

	asio::awaitable<void> run(RunningCallPtr _running);
	asio::awaitable<AttemptResult> attempt(RunningCallPtr _running, bool _mayUsePool);
	asio::awaitable<bool> connect(RunningCallPtr _running);
	/// Reads the next bytes of an answer.
	/// @param[out] _error Set if the connection ended before the answer was complete, or the answer is malformed.
	asio::awaitable<void> readSome(RunningCallPtr _running, IncomingAnswer& _answer,
								   boost::system::error_code& _error);
	/// Reads the rest of an answer.
	/// @returns true if it is complete, or the call was cancelled.
	asio::awaitable<bool> readBody(RunningCallPtr _running, IncomingAnswer& _answer);
	StreamPtr takePooled(const Address& _address);
	void returnToPool(const RunningCallPtr& _running);
	void fail(const RunningCallPtr& _running, HttpFault _fault);

	asio::io_context& context;
	HttpClientHandlers handlers;
	std::unordered_map<std::uint64_t, RunningCallPtr> calls;
	std::map<Address, std::vector<StreamPtr>> pool;
};

StreamPtr HttpClientImpl::takePooled(const Address& _address)
{
	const auto it = pool.find(_address);
	if (pool.end() == it || it->second.empty())
	{
		return nullptr;
	}
	StreamPtr stream = std::move(it->second.back());
	it->second.pop_back();
	return stream;
}

void HttpClientImpl::returnToPool(const RunningCallPtr& _running)
{
	std::vector<StreamPtr>& idle = pool[_running->call.address];
	if (idle.size() < limits::kIdleConnectionsPerBackend)
	{
		_running->stream->expires_never();
		idle.push_back(std::move(_running->stream));
	}
}

void HttpClientImpl::fail(const RunningCallPtr& _running, HttpFault _fault)
{
	calls.erase(_running->call.id);
	if (!_running->cancelled)
	{
		handlers.onFail(_running->call.id, _fault);
	}
}

asio::awaitable<bool> HttpClientImpl::connect(RunningCallPtr _running)
{
	const HttpCall& call = _running->call;
	boost::system::error_code error;
	const tcp::endpoint endpoint(asio::ip::make_address(call.address.host, error), call.address.port);
	if (error)
	{
		co_return false;
	}
	_running->stream = std::make_shared<beast::tcp_stream>(context);
	_running->stream->expires_after(std::chrono::microseconds(call.timeout));
	co_await _running->stream->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
	if (error)
	{
		co_return false;
	}
	_running->stream->socket().set_option(tcp::no_delay(true), error);
	co_return true;
}

asio::awaitable<HttpClientImpl::AttemptResult> HttpClientImpl::attempt(RunningCallPtr _running, bool _mayUsePool)
{
	const HttpCall& call = _running->call;
	_running->stream = _mayUsePool ? takePooled(call.address) : nullptr;
	const bool pooled = nullptr != _running->stream;
	const bool connected = pooled || co_await connect(_running);
	if (!connected || _running->cancelled)
	{
		fail(_running, HttpFault::NotSent);
		co_return AttemptResult::Ended;
	}
	beast::tcp_stream& stream = *_running->stream;
	stream.expires_after(std::chrono::microseconds(call.timeout));
	boost::system::error_code error;
	auto token = asio::redirect_error(asio::use_awaitable, error);
	http::request<http::string_body> message = toMessage(call);
	const std::size_t sent = co_await http::async_write(stream, message, token);
	IncomingAnswer incoming(call.bodyLimit);
	if (error && 0 == sent && !pooled)
	{
		fail(_running, HttpFault::NotSent);
		co_return AttemptResult::Ended;
	}
	while (!error && !incoming.parser.headDone())
	{
		co_await readSome(_running, incoming, error);
	}
	// A fault behind the head is one of the body, which readBody() reports.
	if (error && !incoming.parser.headDone())
	{
		const bool timedOut = beast::error::timeout == error;
		if (pooled && !timedOut && !_running->cancelled)
		{
			co_return AttemptResult::Stale;
		}
		fail(_running, timedOut ? HttpFault::TimedOut : HttpFault::Broken);
		co_return AttemptResult::Ended;
	}
	const MessageHead& head = incoming.parser.head();
	if (call.incremental && !_running->cancelled)
	{
		handlers.onHead(call.id, head.status);
	}
	const bool complete = co_await readBody(_running, incoming);
	if (!complete || _running->cancelled)
	{
		fail(_running, HttpFault::Broken);
		co_return AttemptResult::Ended;
	}
	HttpAnswer answer{head.status, head.headers, std::move(incoming.body)};
	if (head.keepAlive && !call.ownConnection)
	{
		returnToPool(_running);
	}
	calls.erase(call.id);
	handlers.onEnd(call.id, std::move(answer));
	co_return AttemptResult::Ended;
}

asio::awaitable<void> HttpClientImpl::readSome(RunningCallPtr _running, IncomingAnswer& _answer,
											   boost::system::error_code& _error)
{
	std::array<char, limits::kReadBytes> bytes;
	auto token = asio::redirect_error(asio::use_awaitable, _error);
	const asio::mutable_buffer space = asio::buffer(bytes);
	const std::size_t count = co_await _running->stream->async_read_some(space, token);
	_answer.input.append(bytes.data(), count);
	_answer.input.erase(0, _answer.parser.consume(_answer.input, _answer.body));
	if (_error == asio::error::eof)
	{
		_answer.parser.finishAtEnd();
		_error = {};
	}
	if (!_error && _answer.parser.fault() != ParseFault::None)
	{
		_error = http::error::partial_message;
	}
}

asio::awaitable<bool> HttpClientImpl::readBody(RunningCallPtr _running, IncomingAnswer& _answer)
{
	boost::system::error_code error;
	while (true)
	{
		if (_running->call.incremental && !_answer.body.empty() && !_running->cancelled)
		{
			handlers.onData(_running->call.id, std::exchange(_answer.body, {}));
		}
		const bool faulty = error || _answer.parser.fault() != ParseFault::None;
		if (faulty || _answer.parser.done() || _running->cancelled)
		{
			co_return !faulty;
		}
		co_await readSome(_running, _answer, error);
	}
}

asio::awaitable<void> HttpClientImpl::run(RunningCallPtr _running)
{
	const auto self = shared_from_this();
	const AttemptResult result = co_await attempt(_running, !_running->call.ownConnection);
	if (AttemptResult::Stale == result)
	{
		co_await attempt(_running, false);
	}
}

HttpClient::HttpClient(IoLoop& _loop, HttpClientHandlers _handlers)
	: m_impl(std::make_shared<HttpClientImpl>(_loop, std::move(_handlers)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::start(HttpCall _call)
{
	auto running = std::make_shared<RunningCall>();
	running->call = std::move(_call);
	if (0 == running->call.timeout)
	{
		running->call.timeout = kDefaultTimeout;
	}
	m_impl->calls.emplace(running->call.id, running);
	asio::co_spawn(m_impl->context, m_impl->run(running), asio::detached);
}

void HttpClient::cancel(std::uint64_t _id)
{
	const auto it = m_impl->calls.find(_id);
	if (m_impl->calls.end() == it)
	{
		return;
	}
	const RunningCallPtr running = it->second;
	running->cancelled = true;
	m_impl->calls.erase(it);
	if (nullptr != running->stream)
	{
		running->stream->close();
	}
}

bool callAndWait(const HttpCall& _call, HttpAnswer& _answer, HttpFault& _fault)
{
	IoLoop loop;
	bool answered = false;
	HttpClientHandlers handlers;
	handlers.onHead = [](std::uint64_t, unsigned) {
	};
	handlers.onData = [](std::uint64_t, std::string) {
	};
	handlers.onEnd = [&](std::uint64_t, HttpAnswer _result)
	{
		_answer = std::move(_result);
		answered = true;
	};
	handlers.onFail = [&](std::uint64_t, HttpFault _result)
	{
		_fault = _result;
	};
	HttpClient client(loop, std::move(handlers));
	HttpCall call = _call;
	call.ownConnection = true;
	client.start(std::move(call));
	loop.impl().context.run();
	return answered;
}

} // namespace beacongate
