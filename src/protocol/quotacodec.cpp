// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/quotacodec.h"

#include "protocol/json.h"

#include <cmath>

namespace beacongate
{
namespace
{
/// Format number and kind stand where those of all datagrams between gateways do; kinds up to 3 are gossip's.
constexpr std::uint64_t kFormat = 7;
constexpr unsigned kAsk = 4;
constexpr unsigned kAnswer = 5;
constexpr unsigned kReturn = 6;
/// Of a MessagePack list of up to 15 elements, in its first byte.
constexpr unsigned kShortListMask = 0xF0;
constexpr unsigned kShortList = 0x90;

struct Encoder
{
	Json operator()(const QuotaGrantRequest& _ask) const
	{
		return Json::array({kFormat, kAsk, _ask.id, _ask.team, _ask.amount});
	}

	Json operator()(const QuotaGrantAnswer& _answer) const
	{
		return Json::array({kFormat, kAnswer, _answer.id, static_cast<unsigned>(_answer.outcome), _answer.wait,
							_answer.hold, _answer.team, _answer.amount});
	}

	Json operator()(const QuotaGrantReturn& _return) const
	{
		return Json::array({kFormat, kReturn, _return.team, _return.amount});
	}
};

/// @throws Json::exception where it is no amount.
double amountOf(const Json& _field)
{
	const double amount = _field.get<double>();
	if (!std::isfinite(amount) || amount < 0.0)
	{
		throw Json::other_error::create(0, "no amount", nullptr);
	}
	return amount;
}

/// @throws Json::exception where it is none.
GrantOutcome outcomeOf(const Json& _field)
{
	const auto outcome = _field.get<unsigned>();
	if (outcome > static_cast<unsigned>(GrantOutcome::Unable))
	{
		throw Json::other_error::create(0, "no outcome", nullptr);
	}
	return static_cast<GrantOutcome>(outcome);
}

/// @throws Json::exception where a field is missing or of another type.
std::optional<QuotaMessage> messageOf(const Json& _fields)
{
	switch (_fields.at(1).get<unsigned>())
	{
	case kAsk:
		return QuotaGrantRequest{_fields.at(2).get<std::uint64_t>(), _fields.at(3).get<std::string>(),
								 amountOf(_fields.at(4))};
	case kAnswer:
		return QuotaGrantAnswer{_fields.at(2).get<std::uint64_t>(), outcomeOf(_fields.at(3)),
								_fields.at(4).get<Micros>(),        _fields.at(5).get<Micros>(),
								_fields.at(6).get<std::string>(),   amountOf(_fields.at(7))};
	case kReturn:
		return QuotaGrantReturn{_fields.at(2).get<std::string>(), amountOf(_fields.at(3))};
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
	return !_bytes.empty() && (static_cast<unsigned char>(_bytes.front()) & kShortListMask) == kShortList;
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
		return messageOf(fields);
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
