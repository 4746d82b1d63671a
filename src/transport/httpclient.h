// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// HTTP/1.1 client on Boost.Beast with pooled connections.

#ifndef BEACONGATE_TRANSPORT_HTTPCLIENT_H
#define BEACONGATE_TRANSPORT_HTTPCLIENT_H

#include "transport/httptypes.h"
#include "transport/ioloop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace beacongate
{
/// One call.
struct HttpCall
{
	std::uint64_t id = 0; ///< Chosen by the user, unique among calls that run.
	Address address;
	std::string method = "POST";
	std::string target;
	HttpHeaders headers;
	std::string body;
	bool ownConnection = false; ///< Never on a pooled connection, so that NotSent can be told for sure.
	bool incremental = false;   ///< onData() gets the body as it comes, else onEnd() gets it whole.
	std::size_t bodyLimit = 0;  ///< Bytes of the answer's body; 0 is without a limit (incremental only).
	Micros timeout = 0;         ///< Span for the whole call.
};

/// How a call failed.
enum class HttpFault
{
	NotSent, ///< No byte of the request was taken by the network.
	Broken,  ///< The connection ended, or the answer made no sense.
	TimedOut,
};

/// What a client calls; always on the loop's thread.
struct HttpClientHandlers
{
	std::function<void(std::uint64_t _id, unsigned _status)> onHead;
	std::function<void(std::uint64_t _id, std::string _bytes)> onData;
	std::function<void(std::uint64_t _id, HttpAnswer _answer)> onEnd;
	std::function<void(std::uint64_t _id, HttpFault _fault)> onFail;
};

struct HttpClientImpl;

/// Makes calls on one loop. All methods are for the loop's thread.
class HttpClient
{
public:
	HttpClient(IoLoop& _loop, HttpClientHandlers _handlers);
	~HttpClient();
	HttpClient(const HttpClient&) = delete;
	HttpClient& operator=(const HttpClient&) = delete;

	/// Starts a call. Exactly one of onEnd() and onFail() follows, unless it is cancelled.
	void start(HttpCall _call);

	/// Ends a call; no handler is called for it afterwards.
	void cancel(std::uint64_t _id);

private:
	std::shared_ptr<HttpClientImpl> m_impl;
};

/// Makes one call and waits for its answer, on the calling thread.
/// @param[out] _answer Set where the call succeeded.
/// @returns whether there was an answer; otherwise `_fault` says why not.
bool callAndWait(const HttpCall& _call, HttpAnswer& _answer, HttpFault& _fault);

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPCLIENT_H
