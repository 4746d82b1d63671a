// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/crashcodec.h"

#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <algorithm>

namespace beacongate
{
namespace
{
constexpr unsigned kKind = static_cast<unsigned>(DatagramKind::CrashReport);

Json encodeRecord(const CrashRecord& _record)
{
	Json crashes = Json::array();
	for (const Crash& crash : _record.crashes)
	{
		crashes.push_back(crash.backend.value);
		crashes.push_back(crash.cleared);
	}
	return Json::array(
		{_record.request.team, _record.request.high, _record.request.low, _record.age, std::move(crashes)});
}

/// @throws Json::exception where a field is missing or has the wrong type.
CrashRecord decodeRecord(const Json& _fields)
{
	CrashRecord record;
	record.request.team = _fields.at(0).get<std::uint32_t>();
	record.request.high = _fields.at(1).get<std::uint64_t>();
	record.request.low = _fields.at(2).get<std::uint64_t>();
	record.age = std::max<Micros>(0, _fields.at(3).get<Micros>());
	const Json& crashes = _fields.at(4);
	for (std::size_t index = 0; index + 1 < crashes.size() && index / 2 < CrashLedger::kMaxCrashes; index += 2)
	{
		Crash crash;
		crash.backend.value = crashes.at(index).get<std::uint32_t>();
		crash.cleared = crashes.at(index + 1).get<bool>();
		record.crashes.push_back(crash);
	}
	return record;
}

/// @throws Json::exception where the field is not the number of a kind.
CrashReportKind decodeKind(const Json& _field)
{
	const auto kind = _field.get<unsigned>();
	if (kind > static_cast<unsigned>(CrashReportKind::Final))
	{
		throw Json::other_error::create(0, "not a kind of crash report", nullptr);
	}
	return static_cast<CrashReportKind>(kind);
}
} // namespace

std::string encodeCrashReport(const CrashReport& _report)
{
	Json records = Json::array();
	for (const CrashRecord& record : _report.records)
	{
		records.push_back(encodeRecord(record));
	}
	const Json fields = Json::array(
		{kDatagramFormat, kKind, static_cast<unsigned>(_report.kind), _report.digest, std::move(records)});
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	return bytes;
}

bool isCrashDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::CrashReport);
}

std::optional<CrashReport> decodeCrashReport(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	try
	{
		// A later format may have more fields at its end, which are ignored.
		if (!fields.is_array() || fields.at(0).get<std::uint64_t>() < kDatagramFormat ||
			fields.at(1).get<unsigned>() != kKind)
		{
			return std::nullopt;
		}
		CrashReport report;
		report.kind = decodeKind(fields.at(2));
		report.digest = fields.at(3).get<std::uint64_t>();
		const Json& records = fields.at(4);
		for (std::size_t index = 0; index < records.size() && index < CrashLedger::kMaxReported; ++index)
		{
			report.records.push_back(decodeRecord(records.at(index)));
		}
		return report;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
