// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 server on Boost.Beast. All methods are for the loop's thread unless they say otherwise.

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
/// What a server calls; always on the loop's thread.
struct HttpServerHandlers
{
	/// A request arrived; it is answered by send() or by startStream() and its kin, at any later time.
	std::function<void(ExchangeId, HttpRequest&&)> onRequest;
	/// The caller closed its connection before the answer was whole.
	std::function<void(ExchangeId)> onGone;
	/// Makes the answer to bytes that are no acceptable request.
	std::function<HttpAnswer(Failure, const std::string&)> onMalformed;
};

struct HttpServerImpl;

/// Listens on one address.
class HttpServer
{
public:
	/// @param[in] _bodyLimit Bytes of a request's body; a larger one is answered as BodyTooLarge.
	/// @param[in] _headerTimeout From a request's first byte until its header is complete; a slower connection is
	/// closed.
	HttpServer(IoLoop& _loop, HttpServerHandlers _handlers, std::size_t _bodyLimit,
			   Micros _headerTimeout = limits::kDefaultHeaderTimeout);
	~HttpServer();
	HttpServer(const HttpServer&) = delete;
	HttpServer& operator=(const HttpServer&) = delete;

	/// Binds and listens; to be called before the loop's init().
	/// @throws Error SettingInvalid where the address cannot be bound.
	void init(const Address& _address);

	/// Takes no further connections and lets idle ones end. May be called from any thread.
	void stopListening();

	/// @returns the port in use, also where 0 was asked for.
	std::uint16_t port() const;

	/// @returns connections that are open.
	std::size_t connections() const;

	/// Answers an exchange; nothing happens where its caller is gone.
	void send(ExchangeId _exchange, HttpAnswer _answer);

	/// Starts a streamed answer.
	void startStream(ExchangeId _exchange, unsigned _status, HttpHeaders _headers);

	/// Adds bytes to a streamed answer.
	void sendChunk(ExchangeId _exchange, std::string _bytes);

	/// Ends a streamed answer, with trailer fields.
	void endStream(ExchangeId _exchange, HttpHeaders _trailers);

	/// Closes the connection without an end, so that no client takes the answer for whole.
	void cut(ExchangeId _exchange);

private:
	std::shared_ptr<HttpServerImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPSERVER_H
