// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Incremental HTTP/1.1 parser for either side; body bytes are handed out as they come, without chunk framing.

#ifndef BEACONGATE_TRANSPORT_MESSAGEPARSER_H
#define BEACONGATE_TRANSPORT_MESSAGEPARSER_H

#include "transport/httptypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace beacongate
{
/// The first part of a message.
struct MessageHead
{
	std::string method;      ///< Requests only.
	std::string target;      ///< Requests only, as sent.
	unsigned status = 0;     ///< Answers only.
	unsigned version = 11;   ///< 10 or 11.
	HttpHeaders headers;     ///< Without trailers.
	bool keepAlive = false;  ///< The connection may carry another message.
	bool chunked = false;    ///< The body came in chunks.
	bool untilClose = false; ///< The body ends with the connection.
};

/// Which messages a parser reads.
enum class MessageKind
{
	Request,
	Answer,
};

/// Why bytes are no message.
enum class ParseFault
{
	None,
	Malformed,
	HeaderTooLarge,
	BodyTooLarge,
	Truncated, ///< The connection ended inside the message.
};

struct MessageParserImpl;

/// Reads one message.
class MessageParser
{
public:
	/// @param[in] headerLimit Bytes of the head.
	/// @param[in] bodyLimit Bytes of the body.
	MessageParser(MessageKind _kind, std::size_t _headerLimit, std::size_t _bodyLimit);
	~MessageParser();
	MessageParser(const MessageParser&) = delete;
	MessageParser& operator=(const MessageParser&) = delete;

	/// The answer is to a request whose answers have no body.
	void expectNoBody();

	/// Reads as much as there is.
	/// @param[in] bytes What has come and is not consumed yet, from the first unconsumed byte.
	/// @param[out] body Gets the body's bytes appended.
	/// @returns bytes consumed; the rest has to be given again with what follows.
	std::size_t consume(std::string_view _bytes, std::string& _body);

	/// Tells that the connection ended in order.
	void finishAtEnd();

	/// @returns whether the head is complete.
	bool headDone() const;

	/// @returns whether the whole message was read.
	bool done() const;

	/// @returns whether any byte of a message was consumed or rejected.
	bool started() const;

	/// @returns what is wrong with the message.
	ParseFault fault() const;

	/// @returns the head; complete once headDone().
	const MessageHead& head() const;

private:
	std::unique_ptr<MessageParserImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_MESSAGEPARSER_H
