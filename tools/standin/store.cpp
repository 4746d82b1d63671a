// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/store.h"

#include "standin/base.h"

#include "daemon/clock.h"
#include "protocol/base64.h"
#include "protocol/etcd.h"

namespace beacongate::standin
{
namespace
{

std::int64_t integerField(const Json& _object, const char* _name)
{
	if (!_object.contains(_name))
	{
		return 0;
	}
	const Json& value = _object[_name];
	return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

std::string decodeKey(const Json& _object)
{
	return fromBase64(_object.at("key").get<std::string>());
}
} // namespace

Store::Store(IoLoop& _loop)
	: m_loop(_loop),
	  m_server(_loop,
			   handlersFor([this](ExchangeId _id, HttpRequest&& _request) { onRequest(_id, std::move(_request)); }),
			   kBodyBytes)
{
}

void Store::init(const Address& _address)
{
	m_server.init(_address);
}

std::uint16_t Store::port() const
{
	return m_server.port();
}

void Store::onRequest(ExchangeId _exchange, HttpRequest&& _request)
{
	const bool isControl = "/standin" == _request.target;
	if (StoreMode::Down == m_mode && !isControl)
	{
		m_server.abortAnswer(_exchange);
		return;
	}
	HttpAnswer answer;
	answer.headers.emplace_back("Content-Type", "application/json");
	try
	{
		const Json body = parseJson(_request.body, Failure::MalformedRequest);
		expire();
		answer.body = (isControl ? control(body) : call(_request.target, body)).dump();
	}
	catch (const std::exception& error)
	{
		answer.status = 400;
		answer.body = Json{{"error", error.what()}, {"code", 3}}.dump();
	}
	if (StoreMode::Lose == m_mode && !isControl)
	{
		m_server.abortAnswer(_exchange);
		return;
	}
	if (0 == m_delay || isControl)
	{
		m_server.send(_exchange, std::move(answer));
		return;
	}
	m_loop.after(m_delay, [this, _exchange, answer] { m_server.send(_exchange, answer); });
}

Json Store::call(const std::string& _path, const Json& _body)
{
	if ("/v3/kv/range" == _path)
	{
		m_reads += 1;
		return range(_body);
	}
	m_writes += 1;
	if ("/v3/kv/txn" == _path)
	{
		return txn(_body);
	}
	if ("/v3/lease/grant" == _path)
	{
		return grant(_body);
	}
	if ("/v3/lease/keepalive" == _path)
	{
		return keepAlive(_body);
	}
	throw Error(Failure::MalformedRequest, "no such call: " + _path);
}

Json Store::range(const Json& _body) const
{
	Json answer{{"header", {{"revision", std::to_string(m_revision)}}}};
	const auto it = m_values.find(decodeKey(_body));
	if (m_values.end() != it)
	{
		const Value& value = it->second;
		answer["kvs"] = Json::array({{{"key", toBase64(it->first)},
									  {"value", toBase64(value.bytes)},
									  {"create_revision", std::to_string(value.createRevision)},
									  {"mod_revision", std::to_string(value.modRevision)}}});
		answer["count"] = "1";
	}
	return answer;
}

Json Store::txn(const Json& _body)
{
	bool conditionsHold = true;
	for (const Json& compare : _body.at("compare"))
	{
		const auto it = m_values.find(decodeKey(compare));
		const std::int64_t revision = m_values.end() == it ? 0 : it->second.modRevision;
		conditionsHold = conditionsHold && revision == integerField(compare, "mod_revision");
	}
	Json responses = Json::array();
	for (const Json& op : _body.at(conditionsHold ? "success" : "failure"))
	{
		if (op.contains("request_put"))
		{
			const Json& request = op["request_put"];
			put(decodeKey(request), fromBase64(request.at("value").get<std::string>()),
				integerField(request, "lease"));
			responses.push_back({{"response_put", Json::object()}});
		}
		else
		{
			responses.push_back({{"response_range", range(op.at("request_range"))}});
		}
	}
	return {{"header", {{"revision", std::to_string(m_revision)}}},
			{"succeeded", conditionsHold},
			{"responses", std::move(responses)}};
}

void Store::put(const std::string& _key, const std::string& _bytes, std::int64_t _lease)
{
	if (0 != _lease && !m_leaseExpiries.contains(_lease))
	{
		throw Error(Failure::MalformedRequest, "requested lease not found");
	}
	m_revision += 1;
	Value& value = m_values[_key];
	value.bytes = _bytes;
	value.createRevision = 0 == value.createRevision ? m_revision : value.createRevision;
	value.modRevision = m_revision;
	value.lease = _lease;
}

Json Store::grant(const Json& _body)
{
	const std::int64_t lease = m_nextLease++;
	m_leaseDurations[lease] = integerField(_body, "TTL") * kSecond;
	m_leaseExpiries[lease] = monotonicNow() + m_leaseDurations[lease];
	return {{"ID", std::to_string(lease)}, {"TTL", std::to_string(integerField(_body, "TTL"))}};
}

Json Store::keepAlive(const Json& _body)
{
	const std::int64_t lease = integerField(_body, "ID");
	Json result{{"ID", std::to_string(lease)}};
	if (m_leaseExpiries.contains(lease))
	{
		m_leaseExpiries[lease] = monotonicNow() + m_leaseDurations[lease];
		result["TTL"] = std::to_string(m_leaseDurations[lease] / kSecond);
	}
	return {{"result", result}};
}

Json Store::control(const Json& _body)
{
	const std::string mode = _body.value("mode", std::string());
	if (!mode.empty())
	{
		m_mode = "down" == mode ? StoreMode::Down : ("lose" == mode ? StoreMode::Lose : StoreMode::Up);
	}
	m_delay = _body.value("delayMs", m_delay / kMillisecond) * kMillisecond;
	const Json puts = _body.value("put", Json::object());
	for (const auto& [key, value] : puts.items())
	{
		put(key, value.is_string() ? value.get<std::string>() : value.dump(), 0);
	}
	return {{"reads", m_reads}, {"writes", m_writes}, {"revision", m_revision}};
}

void Store::expire()
{
	const Micros now = monotonicNow();
	for (auto it = m_leaseExpiries.begin(); m_leaseExpiries.end() != it;)
	{
		if (it->second > now)
		{
			++it;
			continue;
		}
		const std::int64_t lease = it->first;
		std::erase_if(m_values, [&](const auto& _item) { return _item.second.lease == lease; });
		it = m_leaseExpiries.erase(it);
	}
}

} // namespace beacongate::standin
