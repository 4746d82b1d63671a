// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/service.h"

#include "standin/base.h"

#include "protocol/json.h"

namespace beacongate::standin
{
Service::Service(IoLoop& _loop)
	: m_loop(_loop),
	  m_server(_loop,
			   handlersFor([this](ExchangeId _id, HttpRequest&& _request) { onRequest(_id, std::move(_request)); }),
			   kBodyBytes)
{
}

void Service::init(const Address& _address)
{
	m_server.init(_address);
}

std::uint16_t Service::port() const
{
	return m_server.port();
}

void Service::onRequest(ExchangeId _exchange, HttpRequest&& _request)
{
	if ("/load" == _request.target)
	{
		m_server.send(_exchange, jsonAnswer(R"({"queuedTokens":0,"running":0})"));
		return;
	}
	if ("/executions" == _request.target)
	{
		m_server.send(_exchange, jsonAnswer(Json(m_executions).dump()));
		return;
	}
	if ("/standin" == _request.target)
	{
		control(_request.body);
		m_server.send(_exchange, jsonAnswer("{}"));
		return;
	}
	execute(_exchange, _request);
}

void Service::execute(ExchangeId _exchange, const HttpRequest& _request)
{
	if (m_refuse)
	{
		m_server.send(_exchange, HttpAnswer{503, {{"Beacongate-Not-Taken", "1"}}, "not taken\n"});
		return;
	}
	const std::string key(findHeader(_request.headers, "Idempotency-Key"));
	const std::uint64_t count = ++m_executions[key];
	if (m_cut)
	{
		m_server.abortAnswer(_exchange);
		return;
	}
	const Json json{
		{"path", _request.target}, {"key", key}, {"executions", count}, {"bytes", _request.body.size()}};
	HttpAnswer answer = jsonAnswer(json.dump());
	if (0 == m_delay)
	{
		m_server.send(_exchange, std::move(answer));
		return;
	}
	m_loop.after(m_delay, [this, _exchange, answer] { m_server.send(_exchange, answer); });
}

void Service::control(const std::string& _body)
{
	const Json json = Json::parse(_body, nullptr, false);
	if (json.is_object())
	{
		m_delay = json.value("delayMs", m_delay / kMillisecond) * kMillisecond;
		m_cut = json.value("cut", m_cut);
		m_refuse = json.value("refuse", m_refuse);
	}
}

} // namespace beacongate::standin
