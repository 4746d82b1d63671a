// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Incremental HTTP/1.1 parser for requests and answers; it returns body bytes as they arrive, without chunk
/// framing.

#ifndef BEACONGATE_TRANSPORT_MESSAGEPARSER_H
#define BEACONGATE_TRANSPORT_MESSAGEPARSER_H

#include "transport/httptypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace beacongate
{
/// Start line and headers of a message.
struct MessageHead
{
	std::string method;      ///< Requests only.
	std::string target;      ///< Requests only, as sent.
	unsigned status = 0;     ///< Answers only.
	unsigned version = 11;   ///< 10 or 11.
	HttpHeaders headers;     ///< Without trailers.
	bool keepAlive = false;  ///< The connection may be used for another message.
	bool chunked = false;    ///< The body uses chunked transfer encoding.
	bool untilClose = false; ///< The body ends when the connection is closed.
};

/// Type of message that a parser reads.
enum class MessageKind
{
	Request,
	Answer,
};

/// Reason why a message could not be parsed.
enum class ParseFault
{
	None,
	Malformed,
	HeaderTooLarge,
	BodyTooLarge,
	Truncated, ///< The connection ended before the message was complete.
};

struct MessageParserImpl;

/// Parses one message.
class MessageParser
{
public:
	/// @param[in] headerLimit Maximum bytes of the start line and headers, of a chunk's size with its extensions,
	/// and of the trailers.
	/// @param[in] bodyLimit Maximum bytes of the body.
	MessageParser(MessageKind _kind, std::size_t _headerLimit, std::size_t _bodyLimit);
	~MessageParser();
	MessageParser(const MessageParser&) = delete;
	MessageParser& operator=(const MessageParser&) = delete;

	/// Expects an answer without a body, as to a HEAD request.
	void expectNoBody();

	/// Parses as many of the given bytes as possible.
	/// @param[in] bytes All received bytes that were not consumed yet.
	/// @param[out] body Parsed body bytes are appended to it.
	/// @returns the number of consumed bytes; the rest must be passed again, followed by newly received bytes.
	std::size_t consume(std::string_view _bytes, std::string& _body);

	/// Reports that the other side closed the connection in order, which completes a body that ends there.
	void finishAtEnd();

	/// @returns true if the start line and headers are complete.
	bool headDone() const;

	/// @returns true if the message is complete.
	bool done() const;

	/// @returns true if any byte was passed to consume().
	bool started() const;

	/// @returns the parse fault, or None.
	ParseFault fault() const;

	/// @returns the start line and headers; they are complete once headDone() is true.
	const MessageHead& head() const;

private:
	std::unique_ptr<MessageParserImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_MESSAGEPARSER_H
