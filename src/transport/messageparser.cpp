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
/// Collects what the library's parser reports.
template <bool IsRequest> class Collector : public http::basic_parser<IsRequest>
{
public:
	explicit Collector(MessageHead& head) : m_head(head)
	{
	}

	void setBody(std::string* body)
	{
		m_body = body;
	}

private:
	void on_request_impl(http::verb /*method*/, beast::string_view method, beast::string_view target, int version,
						 BoostError& error) override
	{
		error = {};
		m_head.method.assign(method.data(), method.size());
		m_head.target.assign(target.data(), target.size());
		m_head.version = static_cast<unsigned>(version);
	}

	void on_response_impl(int status, beast::string_view /*reason*/, int version, BoostError& error) override
	{
		error = {};
		m_head.status = static_cast<unsigned>(status);
		m_head.version = static_cast<unsigned>(version);
	}

	void on_field_impl(http::field /*field*/, beast::string_view name, beast::string_view value,
					   BoostError& error) override
	{
		error = {};
		if (!m_headDone)
		{
			m_head.headers.emplace_back(std::string(name.data(), name.size()),
										std::string(value.data(), value.size()));
		}
	}

	void on_header_impl(BoostError& error) override
	{
		error = {};
		m_headDone = true;
	}

	void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, BoostError& error) override
	{
		error = {};
	}

	std::size_t on_body_impl(beast::string_view bytes, BoostError& error) override
	{
		error = {};
		m_body->append(bytes.data(), bytes.size());
		return bytes.size();
	}

	void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, BoostError& error) override
	{
		error = {};
	}

	std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view bytes, BoostError& error) override
	{
		return on_body_impl(bytes, error);
	}

	void on_finish_impl(BoostError& error) override
	{
		error = {};
	}

	MessageHead& m_head;
	std::string* m_body = nullptr;
	bool m_headDone = false;
};

ParseFault toFault(const BoostError& error)
{
	if (error == http::error::header_limit)
	{
		return ParseFault::HeaderTooLarge;
	}
	if (error == http::error::body_limit)
	{
		return ParseFault::BodyTooLarge;
	}
	return ParseFault::Malformed;
}
} // namespace

struct MessageParserImpl
{
	template <typename Visitor> void visit(Visitor visitor)
	{
		if (auto* request = std::get_if<Collector<true>>(&parser))
		{
			visitor(*request);
			return;
		}
		visitor(std::get<Collector<false>>(parser));
	}

	MessageParserImpl(MessageKind kind, std::size_t headerLimit, std::size_t bodyLimit)
	{
		if (kind == MessageKind::Request)
		{
			parser.emplace<Collector<true>>(head);
		}
		else
		{
			parser.emplace<Collector<false>>(head);
		}
		visit(
			[&](auto& collector)
			{
				collector.eager(true);
				collector.header_limit(static_cast<std::uint32_t>(headerLimit));
				collector.body_limit(static_cast<std::uint64_t>(bodyLimit));
			});
	}

	MessageHead head;
	std::variant<std::monostate, Collector<true>, Collector<false>> parser;
	ParseFault fault = ParseFault::None;
	bool started = false;
	bool headDone = false;
	bool done = false;
};

MessageParser::MessageParser(MessageKind kind, std::size_t headerLimit, std::size_t bodyLimit)
	: m_impl(std::make_unique<MessageParserImpl>(kind, headerLimit, bodyLimit))
{
}

MessageParser::~MessageParser() = default;

void MessageParser::expectNoBody()
{
	m_impl->visit([](auto& collector) { collector.skip(true); });
}

std::size_t MessageParser::consume(std::string_view bytes, std::string& body)
{
	MessageParserImpl& impl = *m_impl;
	std::size_t consumed = 0;
	impl.started = impl.started || !bytes.empty();
	impl.visit(
		[&](auto& collector)
		{
			collector.setBody(&body);
			while (consumed < bytes.size() && !collector.is_done() && impl.fault == ParseFault::None)
			{
				BoostError error;
				const asio::const_buffer rest(bytes.data() + consumed, bytes.size() - consumed);
				const std::size_t used = collector.put(rest, error);
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
			impl.done = collector.is_done();
			if (!impl.headDone && collector.is_header_done())
			{
				impl.headDone = true;
				impl.head.keepAlive = collector.keep_alive();
				impl.head.chunked = collector.chunked();
				impl.head.untilClose = !impl.done && collector.need_eof();
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
