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
/// Describes one HTTP request and how its answer is delivered.
struct HttpCall
{
	std::uint64_t id = 0; ///< Chosen by the caller; unique among running calls.
	Address address;
	std::string method = "POST";
	std::string target;
	HttpHeaders headers;
	std::string body;
	bool ownConnection = false; ///< Uses a new connection instead of a pooled one, so that NotSent is reliable.
	bool incremental = false;   ///< onData() gets the body as it arrives; otherwise onEnd() gets the complete body.
	std::size_t bodyLimit = 0;  ///< Maximum bytes of the answer's body; 0 means no limit (incremental only).
	Micros timeout = 0; ///< Timeout of each step: connecting, and then sending the request and reading the answer.
};

/// Reason why a call failed.
enum class HttpFault
{
	NotSent, ///< No byte of the request was sent.
	Broken,  ///< The connection ended early, or the answer was malformed.
	TimedOut,
};

/// Callbacks of a client; they run on the loop's thread.
struct HttpClientHandlers
{
	std::function<void(std::uint64_t _id, unsigned _status)> onHead;
	std::function<void(std::uint64_t _id, std::string _bytes)> onData;
	std::function<void(std::uint64_t _id, HttpAnswer _answer)> onEnd;
	std::function<void(std::uint64_t _id, HttpFault _fault)> onFail;
};

struct HttpClientImpl;

/// HTTP client on one I/O loop. All methods must be called on the loop's thread.
class HttpClient
{
public:
	HttpClient(IoLoop& _loop, HttpClientHandlers _handlers);
	~HttpClient();
	HttpClient(const HttpClient&) = delete;
	HttpClient& operator=(const HttpClient&) = delete;

	/// Starts a call. Exactly one of onEnd() and onFail() is called later, unless the call is cancelled.
	void start(HttpCall _call);

	/// Cancels a call; no handler is called for it afterwards.
	void cancel(std::uint64_t _id);

private:
	std::shared_ptr<HttpClientImpl> m_impl;
};

/// Makes one call on a new connection and blocks the calling thread until it ends.
/// @param[out] _answer Set if the call succeeded.
/// @returns true if an answer arrived; otherwise `_fault` holds the reason.
bool callAndWait(const HttpCall& _call, HttpAnswer& _answer, HttpFault& _fault);

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_HTTPCLIENT_H
