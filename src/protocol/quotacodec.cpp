// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/quotacodec.h"

#include "protocol/json.h"

#include <cmath>

namespace beacongate
{
namespace
{
/// The format number and the kind are the first two fields, as in all datagrams between gateways. Gossip uses the
/// kinds up to 3.
constexpr std::uint64_t kFormat = 7;
constexpr unsigned kGrantRequest = 4;
constexpr unsigned kGrantAnswer = 5;
constexpr unsigned kGrantReturn = 6;
/// Mask and value of the first byte of a MessagePack list of up to 15 elements.
constexpr unsigned kShortListMask = 0xF0;
constexpr unsigned kShortListPrefix = 0x90;

/// Encodes each type of message as a list of fields.
struct Encoder
{
	Json operator()(const QuotaGrantRequest& _request) const
	{
		return Json::array({kFormat, kGrantRequest, _request.id, _request.team, _request.amount});
	}

	Json operator()(const QuotaGrantAnswer& _answer) const
	{
		return Json::array({kFormat, kGrantAnswer, _answer.id, static_cast<unsigned>(_answer.outcome), _answer.wait,
							_answer.hold, _answer.team, _answer.amount});
	}

	Json operator()(const QuotaGrantReturn& _return) const
	{
		return Json::array({kFormat, kGrantReturn, _return.team, _return.amount});
	}
};

/// @returns a finite amount that is not negative.
/// @throws Json::exception where the field is not such a number.
double decodeAmount(const Json& _field)
{
	const double amount = _field.get<double>();
	if (!std::isfinite(amount) || amount < 0.0)
	{
		throw Json::other_error::create(0, "not an amount", nullptr);
	}
	return amount;
}

/// @throws Json::exception where the field is not the number of an outcome.
GrantOutcome decodeOutcome(const Json& _field)
{
	const auto outcome = _field.get<unsigned>();
	if (outcome > static_cast<unsigned>(GrantOutcome::Unable))
	{
		throw Json::other_error::create(0, "not an outcome", nullptr);
	}
	return static_cast<GrantOutcome>(outcome);
}

/// @returns the message; nullopt where the kind is unknown.
/// @throws Json::exception where a field is missing or has the wrong type.
std::optional<QuotaMessage> decodeFields(const Json& _fields)
{
	switch (_fields.at(1).get<unsigned>())
	{
	case kGrantRequest:
		return QuotaGrantRequest{_fields.at(2).get<std::uint64_t>(), _fields.at(3).get<std::string>(),
								 decodeAmount(_fields.at(4))};
	case kGrantAnswer:
		return QuotaGrantAnswer{_fields.at(2).get<std::uint64_t>(), decodeOutcome(_fields.at(3)),
								_fields.at(4).get<Micros>(),        _fields.at(5).get<Micros>(),
								_fields.at(6).get<std::string>(),   decodeAmount(_fields.at(7))};
	case kGrantReturn:
		return QuotaGrantReturn{_fields.at(2).get<std::string>(), decodeAmount(_fields.at(3))};
	default:
		return std::nullopt;
	}
}
} // namespace

std::string encodeQuota(const QuotaMessage& _message)
{
	std::string bytes;
	Json::to_msgpack(std::visit(Encoder(), _message), bytes);
	return bytes;
}

bool isQuotaDatagram(std::string_view _bytes)
{
	return !_bytes.empty() && (static_cast<unsigned char>(_bytes.front()) & kShortListMask) == kShortListPrefix;
}

std::optional<QuotaMessage> decodeQuota(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		// A later format may have more fields at its end, which are ignored.
		if (!fields.is_array() || fields.at(0).get<std::uint64_t>() < kFormat)
		{
			return std::nullopt;
		}
		return decodeFields(fields);
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
