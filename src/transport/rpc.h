// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// JSON-RPC 2.0 messages, built and parsed with libjsonrpccpp; sending them is left to the HTTP modules.

#ifndef BEACONGATE_TRANSPORT_RPC_H
#define BEACONGATE_TRANSPORT_RPC_H

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace beacongate
{
/// Result of a JSON-RPC call.
struct RpcResult
{
	bool ok = false;
	std::string value; ///< The result string, or the error message.
};

/// Builds a JSON-RPC request with one string parameter, `text`.
std::string rpcRequest(const std::string& _method, const std::string& _text);

/// Parses the response to a request of rpcRequest().
RpcResult rpcResult(const std::string& _response);

/// A method with one string parameter and a string result; a thrown Error becomes a JSON-RPC error.
using RpcMethod = std::function<std::string(const std::string& _text)>;

struct RpcServerImpl;

/// Dispatches JSON-RPC requests to methods.
class RpcServer
{
public:
	explicit RpcServer(const std::map<std::string, RpcMethod>& _methods);
	~RpcServer();
	RpcServer(const RpcServer&) = delete;
	RpcServer& operator=(const RpcServer&) = delete;

	/// @returns the JSON-RPC response to a request; a malformed request gets an error response.
	std::string handle(const std::string& _request);

private:
	std::unique_ptr<RpcServerImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_RPC_H
