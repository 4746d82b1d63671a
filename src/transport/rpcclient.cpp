// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// The client headers of libjsonrpccpp 0.7 use dynamic exception specifications, so this one file is C++14.

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/common/exception.h>

#include "transport/rpc.h"

namespace beacongate
{
namespace
{
/// Connector without a network: stores the request and returns a given response. The library's client blocks
/// until its connector returns, which is not acceptable on a thread that handles many calls.
class OfflineConnector : public jsonrpc::IClientConnector
{
public:
	explicit OfflineConnector(const std::string& _response) : m_response(_response)
	{
	}

	void SendRPCMessage(const std::string& _message, std::string& _result) throw(jsonrpc::JsonRpcException) override
	{
		m_request = _message;
		_result = m_response;
	}

	const std::string& request() const
	{
		return m_request;
	}

private:
	std::string m_response;
	std::string m_request;
};

/// Valid response to any call of the library's client, which gives each call the id 1.
constexpr const char* kEmptyResponse = R"({"jsonrpc":"2.0","id":1,"result":""})";
} // namespace

std::string rpcRequest(const std::string& _method, const std::string& _text)
{
	OfflineConnector connector(kEmptyResponse);
	jsonrpc::Client client(connector);
	Json::Value parameters(Json::objectValue);
	parameters["text"] = _text;
	client.CallMethod(_method, parameters);
	return connector.request();
}

RpcResult rpcResult(const std::string& _response)
{
	OfflineConnector connector(_response);
	jsonrpc::Client client(connector);
	RpcResult result;
	try
	{
		result.value = client.CallMethod("any", Json::Value(Json::objectValue)).asString();
		result.ok = true;
	}
	catch (const jsonrpc::JsonRpcException& error)
	{
		result.value = error.GetMessage();
	}
	catch (const Json::Exception& error)
	{
		result.value = error.what();
	}
	return result;
}

} // namespace beacongate
