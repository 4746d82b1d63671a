// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/cloud.h"

#include "standin/base.h"

namespace beacongate::standin
{
Cloud::Cloud(IoLoop& _loop)
	: m_loop(_loop),
	  m_server(_loop,
			   handlersFor([this](ExchangeId _id, HttpRequest&& _request) { onRequest(_id, std::move(_request)); }),
			   kBodyBytes)
{
}

void Cloud::init(const Address& _address)
{
	m_server.init(_address);
}

std::uint16_t Cloud::port() const
{
	return m_server.port();
}

void Cloud::onRequest(ExchangeId _exchange, HttpRequest&& _request)
{
	if ("/standin" == _request.target)
	{
		const Json body = Json::parse(_request.body, nullptr, false);
		if (body.is_object())
		{
			m_lag = body.value("lagMs", m_lag / kMillisecond) * kMillisecond;
			const Json vms = body.value("vms", m_vms);
			m_loop.after(m_lag, [this, vms] { m_vms = vms; });
		}
	}
	m_server.send(_exchange, jsonAnswer(Json{{"vms", m_vms}}.dump()));
}

} // namespace beacongate::standin
