// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "transport/rpc.h"

#include "beacongate/errors.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace beacongate
{
namespace
{
/// Error code in the range that JSON-RPC 2.0 reserves for servers, not used by the library itself.
constexpr int kServerError = -32050;
} // namespace

struct RpcServerImpl : jsonrpc::IProcedureInvokationHandler
{
	explicit RpcServerImpl(const std::map<std::string, RpcMethod>& _methods)
		: methods(_methods),
		  protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
	{
		for (const auto& [name, method] : methods)
		{
			protocol->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, "text",
													  jsonrpc::JSON_STRING, nullptr));
		}
	}

	void HandleMethodCall(jsonrpc::Procedure& _procedure, const Json::Value& _input, Json::Value& _output) override
	{
		try
		{
			_output = methods.at(_procedure.GetProcedureName())(_input["text"].asString());
		}
		catch (const Error& error)
		{
			const std::string type(failureInfo(error.failure()).type);
			throw jsonrpc::JsonRpcException(kServerError, type + ": " + error.what());
		}
	}

	void HandleNotificationCall(jsonrpc::Procedure& _procedure, const Json::Value& _input) override
	{
		Json::Value ignored;
		HandleMethodCall(_procedure, _input, ignored);
	}

	std::map<std::string, RpcMethod> methods;
	std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
};

RpcServer::RpcServer(const std::map<std::string, RpcMethod>& _methods)
	: m_impl(std::make_unique<RpcServerImpl>(_methods))
{
}

RpcServer::~RpcServer() = default;

std::string RpcServer::handle(const std::string& _request)
{
	std::string response;
	m_impl->protocol->HandleRequest(_request, response);
	return response;
}

} // namespace beacongate
