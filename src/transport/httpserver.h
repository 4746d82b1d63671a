// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 server on Boost.Beast. Methods must be called on the loop's thread unless documented otherwise.

#ifndef BEACONGATE_TRANSPORT_HTTPSERVER_H
#define BEACONGATE_TRANSPORT_HTTPSERVER_H

#include "beacongate/errors.h"
#include "beacongate/limits.h"
#include "transport/httptypes.h"
#include "transport/ioloop.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace beacongate
{
/// Callbacks of a server; they run on the loop's thread.
struct HttpServerHandlers
{
	/// A complete request arrived. It may be answered at any later time, with send() or with startStream(),
	/// sendChunk() and endStream().
	std::function<void(ExchangeId, HttpRequest&&)> onRequest;
	/// The client closed its connection before the answer was complete.
	std::function<void(ExchangeId)> onDisconnected;
	/// Builds the answer to a malformed or too large request.
	std::function<HttpAnswer(Failure, const std::string&)> onMalformed;
};

struct HttpServerImpl;

/// HTTP server that listens on one address.
class HttpServer
{
public:
	/// @param[in] _bodyLimit Maximum bytes of a request's body; a larger one is answered as BodyTooLarge.
	/// @param[in] _headerTimeout Maximum time from a request's first byte until its header is complete; after it
	/// the connection is closed.
	HttpServer(IoLoop& _loop, HttpServerHandlers _handlers, std::size_t _bodyLimit,
			   Micros _headerTimeout = limits::kDefaultHeaderTimeout);
	~HttpServer();
	HttpServer(const HttpServer&) = delete;
	HttpServer& operator=(const HttpServer&) = delete;

	/// Binds and listens. Must be called before the loop's init().
	/// @throws Error SettingInvalid if the address cannot be bound.
	void init(const Address& _address);

	/// Stops accepting connections and closes idle ones. May be called from any thread.
	void stopListening();

	/// @returns the bound port; if port 0 was given, the port that the system assigned.
	std::uint16_t port() const;

	/// @returns the number of open connections.
	std::size_t connections() const;

	/// Answers an exchange; has no effect if the exchange has ended.
	void send(ExchangeId _exchange, HttpAnswer _answer);

	/// Starts a streamed answer.
	void startStream(ExchangeId _exchange, unsigned _status, HttpHeaders _headers);

	/// Appends bytes to a streamed answer.
	void sendChunk(ExchangeId _exchange, std::string _bytes);

	/// Ends a streamed answer and sends trailer fields.
	void endStream(ExchangeId _exchange, HttpHeaders _trailers);

	/// Closes the connection without the terminating chunk, so that no client takes the answer as complete.
	void abortAnswer(ExchangeId _exchange);

private:
	std::shared_ptr<HttpServerImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPSERVER_H
