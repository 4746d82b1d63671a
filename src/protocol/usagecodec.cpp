// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/usagecodec.h"

#include "protocol/json.h"

namespace beacongate
{
std::string encodeRunCounts(const RunCounts& counts)
{
	Json list = Json::array();
	for (const auto& [run, count] : counts)
	{
		list.push_back(Json::array({run.name, run.incarnation, count.window, count.team, count.count}));
	}
	return list.dump();
}

RunCounts decodeRunCounts(std::string_view text)
{
	RunCounts counts;
	try
	{
		for (const Json& entry : parseJson(text, Failure::StoreUnavailable))
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

std::string encodeTotals(const std::map<std::string, std::uint64_t>& totals)
{
	return Json(totals).dump();
}

std::map<std::string, std::uint64_t> decodeTotals(std::string_view text)
{
	try
	{
		return parseJson(text, Failure::StoreUnavailable).get<std::map<std::string, std::uint64_t>>();
	}
	catch (const Json::exception& error)
	{
		throw Error(Failure::StoreUnavailable, std::string("counts of a window: ") + error.what());
	}
}

} // namespace beacongate
