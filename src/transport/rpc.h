// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// JSON-RPC 2.0 by libjsonrpccpp; HTTP carries it elsewhere, so that this header needs neither.

#ifndef BEACONGATE_TRANSPORT_RPC_H
#define BEACONGATE_TRANSPORT_RPC_H

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace beacongate
{
/// Result of a call.
struct RpcResult
{
	bool ok = false;
	std::string value; ///< The result's text, or the error's message.
};

/// Builds a call with one text parameter.
std::string rpcRequest(const std::string& _method, const std::string& _text);

/// Reads the answer to such a call.
RpcResult rpcResult(const std::string& _response);

/// Methods that take one text and give one text; a thrown Error becomes a JSON-RPC error.
using RpcMethod = std::function<std::string(const std::string& _text)>;

struct RpcServerImpl;

/// Dispatches calls to methods.
class RpcServer
{
public:
	explicit RpcServer(const std::map<std::string, RpcMethod>& _methods);
	~RpcServer();
	RpcServer(const RpcServer&) = delete;
	RpcServer& operator=(const RpcServer&) = delete;

	/// @returns the JSON-RPC answer to a JSON-RPC request, also where that is malformed.
	std::string handle(const std::string& _request);

private:
	std::unique_ptr<RpcServerImpl> m_impl;
};

} // namespace beacongate

#endif // BEACONGATE_TRANSPORT_RPC_H
