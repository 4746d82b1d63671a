// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/speedcodec.h"

#include "protocol/datagramkind.h"
#include "protocol/json.h"

#include <algorithm>
#include <cmath>

namespace beacongate
{
namespace
{
constexpr unsigned kKind = static_cast<unsigned>(DatagramKind::ServerSpeed);
/// Bytes of a report: 4 for the backend server's key, 2 for its slowdown in hundredths, both with the lowest byte
/// first.
constexpr std::size_t kKeyBytes = 4;
constexpr std::size_t kReportBytes = 6;
constexpr double kHundredth = 0.01;
/// Largest datagram that is read, with room for fields of later builds. 60 KiB of nested lists exhaust the stack of
/// a build without optimisation.
constexpr std::size_t kMaxBytes = 4096;

void appendNumber(Json::binary_t& _bytes, std::uint32_t _value, std::size_t _count)
{
	for (std::size_t index = 0; index < _count; ++index)
	{
		_bytes.push_back(static_cast<std::uint8_t>(_value >> (8 * index)));
	}
}

std::uint32_t readNumber(const Json::binary_t& _bytes, std::size_t _at, std::size_t _count)
{
	std::uint32_t value = 0;
	for (std::size_t index = _count; index-- > 0;)
	{
		value = value << 8 | _bytes[_at + index];
	}
	return value;
}
} // namespace

std::string encodeSpeeds(const std::vector<SpeedReport>& _reports)
{
	Json::binary_t packed;
	for (const SpeedReport& report : _reports)
	{
		// A receiver refuses the whole datagram for a slowdown of 0, which NaN may become as a whole number.
		if (std::isnan(report.slowdown) || packed.size() == kMaxSpeedReports * kReportBytes)
		{
			continue;
		}
		const double slowdown = std::clamp(report.slowdown, ServerSpeeds::kMinSlowdown, ServerSpeeds::kMaxSlowdown);
		appendNumber(packed, report.key.value, kKeyBytes);
		appendNumber(packed, static_cast<std::uint32_t>(std::lround(slowdown / kHundredth)),
					 kReportBytes - kKeyBytes);
	}
	std::string bytes;
	Json::to_msgpack(Json::array({kDatagramFormat, kKind, Json::binary(std::move(packed))}), bytes);
	return bytes;
}

bool isSpeedDatagram(std::string_view _bytes)
{
	return isOfKind(_bytes, DatagramKind::ServerSpeed);
}

std::optional<std::vector<SpeedReport>> decodeSpeeds(std::string_view _bytes)
{
	if (_bytes.size() > kMaxBytes)
	{
		return std::nullopt;
	}
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	constexpr std::size_t kFields = 3; // A later format may have more at its end, which are ignored.
	if (!fields.is_array() || fields.size() < kFields || !fields[0].is_number_unsigned() ||
		fields[0].get<std::uint64_t>() < kDatagramFormat || fields[1] != kKind || !fields[2].is_binary())
	{
		return std::nullopt;
	}
	const Json::binary_t& packed = fields[2].get_binary();
	if (packed.size() % kReportBytes != 0 || packed.size() > kMaxSpeedReports * kReportBytes)
	{
		return std::nullopt;
	}
	std::vector<SpeedReport> reports;
	for (std::size_t at = 0; at < packed.size(); at += kReportBytes)
	{
		SpeedReport report;
		report.key.value = readNumber(packed, at, kKeyBytes);
		report.slowdown = kHundredth * readNumber(packed, at + kKeyBytes, kReportBytes - kKeyBytes);
		if (report.slowdown <= 0.0)
		{
			return std::nullopt;
		}
		reports.push_back(report);
	}
	return reports;
}

} // namespace beacongate
