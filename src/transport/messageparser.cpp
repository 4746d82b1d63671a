// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/messageparser.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <variant>

namespace beacongate
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using BoostError = boost::system::error_code;

namespace
{
constexpr int kFirstStatus = 100;
constexpr int kEndOfStatuses = 600;

bool isValidStatus(int _status)
{
	return _status >= kFirstStatus && _status < kEndOfStatuses;
}

/// @returns true if the line after a field begins with a blank.
/// @param[in] name Name of the field inside the received bytes, which contain the field's line and one byte more.
bool isContinued(beast::string_view _name)
{
	const char* at = _name.data() + _name.size();
	while (*at != '\n')
	{
		++at;
	}
	return at[1] == ' ' || at[1] == '\t';
}

/// @returns true if a body has a transfer coding other than chunks; such a coding is not removed here.
bool isCoded(beast::string_view _transferEncoding)
{
	return !beast::iequals(_transferEncoding, "chunked") && !beast::iequals(_transferEncoding, "identity");
}

/// Stores the parts of the message that Beast's parser reports.
template <bool IsRequest> class Collector : public http::basic_parser<IsRequest>
{
public:
	explicit Collector(MessageHead& _head) : m_head(_head)
	{
	}

	void setBody(std::string* _body)
	{
		m_body = _body;
	}

private:
	void on_request_impl(http::verb /*method*/, beast::string_view _method, beast::string_view _target,
						 int _version, BoostError& _error) override
	{
		_error = {};
		m_head.method.assign(_method.data(), _method.size());
		m_head.target.assign(_target.data(), _target.size());
		m_head.version = static_cast<unsigned>(_version);
	}

	void on_response_impl(int _status, beast::string_view /*reason*/, int _version, BoostError& _error) override
	{
		// The library accepts any three digits.
		if (!isValidStatus(_status))
		{
			_error = http::error::bad_status;
			return;
		}
		_error = {};
		m_head.status = static_cast<unsigned>(_status);
		m_head.version = static_cast<unsigned>(_version);
	}

	void on_field_impl(http::field _field, beast::string_view _name, beast::string_view _value,
					   BoostError& _error) override
	{
		// The library would append a field whose name begins with a blank to the field before it.
		if (!IsRequest && isContinued(_name))
		{
			_error = http::error::bad_field;
			return;
		}
		if (!IsRequest && _field == http::field::transfer_encoding && isCoded(_value))
		{
			_error = http::error::bad_transfer_encoding;
			return;
		}
		_error = {};
		if (!m_headDone)
		{
			m_head.headers.emplace_back(std::string(_name.data(), _name.size()),
										std::string(_value.data(), _value.size()));
		}
	}

	void on_header_impl(BoostError& _error) override
	{
		_error = {};
		m_headDone = true;
	}

	void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, BoostError& _error) override
	{
		_error = {};
	}

	std::size_t on_body_impl(beast::string_view _bytes, BoostError& _error) override
	{
		_error = {};
		m_body->append(_bytes.data(), _bytes.size());
		return _bytes.size();
	}

	void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
							  BoostError& _error) override
	{
		_error = {};
	}

	std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view _bytes, BoostError& _error) override
	{
		return on_body_impl(_bytes, _error);
	}

	void on_finish_impl(BoostError& _error) override
	{
		_error = {};
	}

	MessageHead& m_head;
	std::string* m_body = nullptr;
	bool m_headDone = false;
};

ParseFault toFault(const BoostError& _error)
{
	if (_error == http::error::header_limit)
	{
		return ParseFault::HeaderTooLarge;
	}
	if (_error == http::error::body_limit)
	{
		return ParseFault::BodyTooLarge;
	}
	return ParseFault::Malformed;
}
} // namespace

struct MessageParserImpl
{
	template <typename Visitor> void visit(Visitor _visitor)
	{
		if (auto* request = std::get_if<Collector<true>>(&parser))
		{
			_visitor(*request);
			return;
		}
		_visitor(std::get<Collector<false>>(parser));
	}

	MessageParserImpl(MessageKind _kind, std::size_t _headerLimit, std::size_t _bodyLimit)
		: headerLimit(_headerLimit)
	{
		if (_kind == MessageKind::Request)
		{
			parser.emplace<Collector<true>>(head);
		}
		else
		{
			parser.emplace<Collector<false>>(head);
		}
		visit(
			[&](auto& _collector)
			{
				_collector.eager(true);
				_collector.header_limit(static_cast<std::uint32_t>(_headerLimit));
				_collector.body_limit(static_cast<std::uint64_t>(_bodyLimit));
			});
	}

	MessageHead head;
	std::variant<std::monostate, Collector<true>, Collector<false>> parser;
	ParseFault fault = ParseFault::None;
	std::size_t headerLimit;
	bool started = false;
	bool headDone = false;
	bool done = false;
};

MessageParser::MessageParser(MessageKind _kind, std::size_t _headerLimit, std::size_t _bodyLimit)
	: m_impl(std::make_unique<MessageParserImpl>(_kind, _headerLimit, _bodyLimit))
{
}

MessageParser::~MessageParser() = default;

void MessageParser::expectNoBody()
{
	m_impl->visit([](auto& _collector) { _collector.skip(true); });
}

std::size_t MessageParser::consume(std::string_view _bytes, std::string& _body)
{
	MessageParserImpl& impl = *m_impl;
	std::size_t consumed = 0;
	impl.started = impl.started || !_bytes.empty();
	impl.visit(
		[&](auto& _collector)
		{
			_collector.setBody(&_body);
			while (consumed < _bytes.size() && !_collector.is_done() && impl.fault == ParseFault::None)
			{
				BoostError error;
				const asio::const_buffer rest(_bytes.data() + consumed, _bytes.size() - consumed);
				const std::size_t used = _collector.put(rest, error);
				consumed += used;
				if (error == http::error::need_more || (!error && used == 0))
				{
					break;
				}
				if (error)
				{
					impl.fault = toFault(error);
				}
			}
			impl.done = _collector.is_done();
			// Chunk extensions and trailers without end stay unconsumed, and the library has no limit for them.
			const bool waits = !impl.done && impl.fault == ParseFault::None;
			if (waits && _bytes.size() - consumed > impl.headerLimit)
			{
				impl.fault = ParseFault::HeaderTooLarge;
			}
			if (!impl.headDone && _collector.is_header_done())
			{
				impl.headDone = true;
				impl.head.keepAlive = _collector.keep_alive();
				impl.head.chunked = _collector.chunked();
				impl.head.untilClose = !impl.done && _collector.need_eof();
			}
		});
	return consumed;
}

void MessageParser::finishAtEnd()
{
	MessageParserImpl& impl = *m_impl;
	if (impl.done || impl.fault != ParseFault::None)
	{
		return;
	}
	if (impl.headDone && impl.head.untilClose)
	{
		impl.done = true;
		return;
	}
	impl.fault = ParseFault::Truncated;
}

bool MessageParser::headDone() const
{
	return m_impl->headDone;
}

bool MessageParser::done() const
{
	return m_impl->done;
}

bool MessageParser::started() const
{
	return m_impl->started;
}

ParseFault MessageParser::fault() const
{
	return m_impl->fault;
}

const MessageHead& MessageParser::head() const
{
	return m_impl->head;
}

} // namespace beacongate
