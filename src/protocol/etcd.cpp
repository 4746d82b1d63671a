// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/etcd.h"

#include "protocol/base64.h"
#include "protocol/json.h"

#include <array>

namespace beacongate::etcd
{
namespace
{

std::int64_t readNumber(const Json& _object, const char* _name)
{
	const auto it = _object.find(_name);
	if (_object.end() == it)
	{
		return 0; // The JSON mapping omits fields whose value is zero.
	}
	return it->is_string() ? std::stoll(it->get<std::string>()) : it->get<std::int64_t>();
}

StoreValue readValue(const Json& _kv)
{
	StoreValue value;
	value.exists = true;
	value.text = fromBase64(_kv.value("value", std::string()));
	value.modRevision = readNumber(_kv, "mod_revision");
	value.createRevision = readNumber(_kv, "create_revision");
	return value;
}

StoreValue readFirstValue(const Json& _range)
{
	const auto kvs = _range.find("kvs");
	return _range.end() == kvs || kvs->empty() ? StoreValue{} : readValue(kvs->front());
}

/// Decodes an answer; one that cannot be decoded counts as lost.
template <typename Read> StoreAnswered decodeOrLost(std::uint64_t _op, std::string_view _body, Read _read)
{
	StoreAnswered answered;
	answered.op = _op;
	answered.status = StoreStatus::Lost;
	try
	{
		_read(Json::parse(_body), answered);
	}
	catch (const std::exception&)
	{
		answered.status = StoreStatus::Lost;
	}
	return answered;
}
} // namespace

Call encode(const StoreGet& _get)
{
	return {"/v3/kv/range", Json{{"key", toBase64(_get.key)}}.dump()};
}

Call encode(const StoreSwap& _swap)
{
	const std::string key = toBase64(_swap.key);
	Json put{{"key", key}, {"value", toBase64(_swap.text)}};
	if (0 != _swap.lease)
	{
		put["lease"] = std::to_string(_swap.lease);
	}
	const Json compare{{"target", "MOD"},
					   {"key", key},
					   {"result", "EQUAL"},
					   {"mod_revision", std::to_string(_swap.expectedRevision)}};
	const Json body{{"compare", Json::array({compare})},
					{"success", Json::array({Json{{"request_put", put}}})},
					{"failure", Json::array({Json{{"request_range", {{"key", key}}}}})}};
	return {"/v3/kv/txn", body.dump()};
}

Call encode(const StoreLeaseGrant& _grant)
{
	return {"/v3/lease/grant", Json{{"TTL", std::to_string(_grant.ttl / kSecond)}}.dump()};
}

Call encode(const StoreLeaseRenew& _renew)
{
	return {"/v3/lease/keepalive", Json{{"ID", std::to_string(_renew.lease)}}.dump()};
}

StoreAnswered decode(const StoreGet& _get, std::string_view _body)
{
	return decodeOrLost(_get.op, _body,
						[](const Json& _json, StoreAnswered& _answered)
						{
							_answered.value = readFirstValue(_json);
							_answered.status = StoreStatus::Ok;
						});
}

StoreAnswered decode(const StoreSwap& _swap, std::string_view _body)
{
	return decodeOrLost(_swap.op, _body,
						[](const Json& _json, StoreAnswered& _answered)
						{
							_answered.revision = readNumber(_json.at("header"), "revision");
							if (_json.value("succeeded", false))
							{
								_answered.status = StoreStatus::Ok;
								return;
							}
							_answered.value = readFirstValue(_json.at("responses").at(0).at("response_range"));
							_answered.status = StoreStatus::CompareFailed;
						});
}

StoreAnswered decode(const StoreLeaseGrant& _grant, std::string_view _body)
{
	return decodeOrLost(_grant.op, _body,
						[](const Json& _json, StoreAnswered& _answered)
						{
							_answered.lease = readNumber(_json, "ID");
							_answered.status = 0 == _answered.lease ? StoreStatus::Lost : StoreStatus::Ok;
						});
}

StoreAnswered decode(const StoreLeaseRenew& _renew, std::string_view _body)
{
	return decodeOrLost(_renew.op, _body,
						[&](const Json& _json, StoreAnswered& _answered)
						{
							const Json& result = _json.at("result");
							_answered.lease = _renew.lease;
							// The answer for an expired lease has no TTL.
							_answered.status =
								0 < readNumber(result, "TTL") ? StoreStatus::Ok : StoreStatus::CompareFailed;
						});
}

} // namespace beacongate::etcd
