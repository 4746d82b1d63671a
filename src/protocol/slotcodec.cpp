// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/slotcodec.h"

#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beacongate
{
namespace
{
constexpr unsigned kSlotKind = static_cast<unsigned>(DatagramKind::SlotGrant);
constexpr unsigned kBrittleKind = static_cast<unsigned>(DatagramKind::BrittleReport);

/// Third field of a datagram about slots.
enum class Content : std::uint8_t
{
	Request,
	Answer,
	Report,
	GrantNotice,
};

constexpr double kNone = -1.0; ///< Encodes that a server is not brittle, or names no limit.

Json startFields(Content _content)
{
	return Json::array({kDatagramFormat, kSlotKind, static_cast<unsigned>(_content)});
}

void addUse(Json& _fields, const SlotUse& _use)
{
	_fields.push_back(_use.backend.value);
	_fields.push_back(_use.inFlight);
	_fields.push_back(_use.lastGrant);
}

/// Encodes each type of message as a list of fields.
struct Encoder
{
	Json operator()(const SlotRequest& _request) const
	{
		Json fields = startFields(Content::Request);
		addUse(fields, _request.use);
		fields.push_back(_request.id);
		fields.push_back(_request.slots);
		fields.push_back(_request.rejections.value_or(kNone));
		fields.push_back(_request.priority);
		fields.push_back(_request.patience);
		fields.push_back(_request.limit.value_or(kNone));
		fields.push_back(_request.insists);
		return fields;
	}

	Json operator()(const SlotAnswer& _answer) const
	{
		Json fields = startFields(Content::Answer);
		fields.push_back(_answer.backend.value);
		fields.push_back(_answer.id);
		fields.push_back(static_cast<unsigned>(_answer.outcome));
		fields.push_back(_answer.grant);
		fields.push_back(_answer.wait);
		return fields;
	}

	Json operator()(const SlotReport& _report) const
	{
		Json fields = startFields(Content::Report);
		addUse(fields, _report.use);
		fields.push_back(_report.rejected);
		fields.push_back(_report.unused);
		fields.push_back(_report.rejections.value_or(kNone));
		return fields;
	}

	Json operator()(const GrantNotice& _notice) const
	{
		Json fields = startFields(Content::GrantNotice);
		fields.push_back(_notice.backend.value);
		fields.push_back(_notice.holder);
		fields.push_back(_notice.inUse);
		fields.push_back(_notice.limit.value_or(kNone));
		return fields;
	}
};

/// @throws Json::exception where the field has the wrong type, or is no number of rejections.
double decodeRejections(const Json& _field)
{
	const double rejections = _field.get<double>();
	if (!std::isfinite(rejections) || rejections < 0.0)
	{
		throw Json::other_error::create(0, "not a number of rejections", nullptr);
	}
	return rejections;
}

/// @returns the number; nothing for kNone.
/// @throws Json::exception where the field has the wrong type, or is no finite number.
std::optional<double> decodeOptional(const Json& _field)
{
	const double value = _field.get<double>();
	if (!std::isfinite(value))
	{
		throw Json::other_error::create(0, "not a finite number", nullptr);
	}
	return value < 0.0 ? std::nullopt : std::optional<double>(value);
}

/// @throws Json::exception where a field is missing or has the wrong type.
SlotUse decodeUse(const Json& _fields)
{
	SlotUse use;
	use.backend.value = _fields.at(3).get<std::uint32_t>();
	use.inFlight = _fields.at(4).get<unsigned>();
	use.lastGrant = _fields.at(5).get<std::uint64_t>();
	return use;
}

/// @throws Json::exception where a field is missing or has the wrong type.
SlotRequest decodeRequest(const Json& _fields)
{
	SlotRequest request;
	request.use = decodeUse(_fields);
	request.id = _fields.at(6).get<std::uint64_t>();
	request.slots = _fields.at(7).get<unsigned>();
	request.rejections = decodeOptional(_fields.at(8));
	request.priority = _fields.at(9).get<unsigned>();
	request.patience = _fields.at(10).get<Micros>();
	// An earlier build does not send it.
	request.limit = _fields.size() > 11 ? decodeOptional(_fields.at(11)) : std::nullopt;
	// An earlier build does not know that it may be referred, so it gets a decision.
	request.insists = _fields.size() > 12 ? _fields.at(12).get<bool>() : true;
	return request;
}

/// @throws Json::exception where a field is missing or has the wrong type.
SlotAnswer decodeAnswer(const Json& _fields)
{
	SlotAnswer answer;
	answer.backend.value = _fields.at(3).get<std::uint32_t>();
	answer.id = _fields.at(4).get<std::uint64_t>();
	const auto outcome = _fields.at(5).get<unsigned>();
	if (outcome > static_cast<unsigned>(SlotOutcome::Referred))
	{
		throw Json::other_error::create(0, "not an outcome", nullptr);
	}
	answer.outcome = static_cast<SlotOutcome>(outcome);
	answer.grant = _fields.at(6).get<std::uint64_t>();
	answer.wait = _fields.size() > 7 ? std::max<Micros>(0, _fields.at(7).get<Micros>()) : 0;
	return answer;
}

/// @throws Json::exception where a field is missing or has the wrong type.
SlotReport decodeReport(const Json& _fields)
{
	SlotReport report{decodeUse(_fields), _fields.at(6).get<bool>()};
	report.unused = _fields.size() > 7 && _fields.at(7).get<bool>();
	report.rejections = _fields.size() > 8 ? decodeOptional(_fields.at(8)) : std::nullopt;
	return report;
}

/// @throws Json::exception where a field is missing or has the wrong type.
GrantNotice decodeGrantNotice(const Json& _fields)
{
	GrantNotice notice;
	notice.backend.value = _fields.at(3).get<std::uint32_t>();
	notice.holder = _fields.at(4).get<std::string>();
	notice.inUse = _fields.at(5).get<unsigned>();
	notice.limit = decodeOptional(_fields.at(6));
	return notice;
}

/// @returns the message; nothing where its content is unknown.
/// @throws Json::exception where a field is missing or has the wrong type.
std::optional<SlotMessage> decodeFields(const Json& _fields)
{
	switch (_fields.at(2).get<unsigned>())
	{
	case static_cast<unsigned>(Content::Request):
		return decodeRequest(_fields);
	case static_cast<unsigned>(Content::Answer):
		return decodeAnswer(_fields);
	case static_cast<unsigned>(Content::Report):
		return decodeReport(_fields);
	case static_cast<unsigned>(Content::GrantNotice):
		return decodeGrantNotice(_fields);
	default:
		return std::nullopt;
	}
}

/// @returns true if the fields are those of a datagram of a kind. A later format may have more fields at its end,
/// which are ignored.
/// @throws Json::exception where a field is missing or has the wrong type.
bool hasKind(const Json& _fields, unsigned _kind)
{
	return _fields.is_array() && _fields.at(0).get<std::uint64_t>() >= kDatagramFormat &&
		   _fields.at(1).get<unsigned>() == _kind;
}
} // namespace

std::string encodeSlot(const SlotMessage& _message)
{
	std::string bytes;
	Json::to_msgpack(std::visit(Encoder(), _message), bytes);
	return bytes;
}

bool isSlotDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::SlotGrant);
}

std::optional<SlotMessage> decodeSlot(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		return hasKind(fields, kSlotKind) ? decodeFields(fields) : std::nullopt;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

std::string encodeBrittle(const std::vector<BrittleServiceRecord>& _records)
{
	Json records = Json::array();
	for (const BrittleServiceRecord& record : _records)
	{
		records.push_back(Json::array({record.service.value, record.rejections, record.age}));
	}
	std::string bytes;
	Json::to_msgpack(Json::array({kDatagramFormat, kBrittleKind, std::move(records)}), bytes);
	return bytes;
}

bool isBrittleDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::BrittleReport);
}

std::optional<std::vector<BrittleServiceRecord>> decodeBrittle(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		if (!hasKind(fields, kBrittleKind))
		{
			return std::nullopt;
		}
		const Json& encoded = fields.at(2);
		std::vector<BrittleServiceRecord> records;
		for (std::size_t index = 0; index < std::min(encoded.size(), kMaxBrittleRecords); ++index)
		{
			const Json& entry = encoded.at(index);
			BrittleServiceRecord record;
			record.service.value = entry.at(0).get<std::uint64_t>();
			record.rejections = decodeRejections(entry.at(1));
			record.age = std::max<Micros>(0, entry.at(2).get<Micros>());
			records.push_back(record);
		}
		return records;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
