// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/usagecodec.h"

#include "protocol/json.h"

namespace beacongate
{
std::string encodeRunCounts(const RunCounts& _counts)
{
	Json list = Json::array();
	for (const auto& [run, count] : _counts)
	{
		list.push_back(Json::array({run.name, run.incarnation, count.window, count.team, count.count}));
	}
	return list.dump();
}

RunCounts decodeRunCounts(std::string_view _text)
{
	RunCounts counts;
	try
	{
		for (const Json& entry : parseJson(_text, Failure::StoreUnavailable))
		{
			counts.emplace_back(GatewayRun{entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>()},
								UsageCount{entry.at(2).get<std::uint64_t>(), entry.at(3).get<std::string>(),
										   entry.at(4).get<std::uint64_t>()});
		}
	}
	catch (const std::exception&)
	{
		return {};
	}
	return counts;
}

std::string encodeTotals(const std::map<std::string, std::uint64_t>& _totals)
{
	return Json(_totals).dump();
}

std::map<std::string, std::uint64_t> decodeTotals(std::string_view _text)
{
	try
	{
		return parseJson(_text, Failure::StoreUnavailable).get<std::map<std::string, std::uint64_t>>();
	}
	catch (const Json::exception& error)
	{
		throw Error(Failure::StoreUnavailable, std::string("usage totals: ") + error.what());
	}
}

} // namespace beacongate
