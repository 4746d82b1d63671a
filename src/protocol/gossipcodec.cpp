// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/gossipcodec.h"

#include "protocol/json.h"

namespace beacongate
{
namespace
{
constexpr int kFormat = 4; ///< Raised when the layout changes.

Json encodeQuotas(const std::vector<QuotaReport>& _quotas)
{
	Json list = Json::array();
	for (const QuotaReport& quota : _quotas)
	{
		list.push_back(Json::array({quota.team, quota.taken}));
	}
	return list;
}

Json encodeLoads(const std::vector<BackendLoad>& _loads)
{
	Json list = Json::array();
	for (const BackendLoad& load : _loads)
	{
		list.push_back(Json::array({load.id, load.inFlight, load.pendingTokens}));
	}
	return list;
}

Json encodeUsage(const std::vector<UsageCount>& _usage)
{
	Json list = Json::array();
	for (const UsageCount& count : _usage)
	{
		list.push_back(Json::array({count.window, count.team, count.count}));
	}
	return list;
}

Json encodeDemand(const std::vector<DemandReport>& _demand)
{
	Json list = Json::array();
	for (const DemandReport& report : _demand)
	{
		list.push_back(Json::array({report.service, report.work, report.occupied}));
	}
	return list;
}

void decodeLists(const Json& _quotas, const Json& _loads, const Json& _usage, GossipMessage& _message)
{
	for (const Json& quota : _quotas)
	{
		_message.quotas.push_back({quota.at(0).get<std::string>(), quota.at(1).get<double>()});
	}
	for (const Json& load : _loads)
	{
		_message.loads.push_back(
			{load.at(0).get<std::string>(), load.at(1).get<unsigned>(), load.at(2).get<std::uint64_t>()});
	}
	for (const Json& count : _usage)
	{
		_message.usage.push_back(
			{count.at(0).get<std::uint64_t>(), count.at(1).get<std::string>(), count.at(2).get<std::uint64_t>()});
	}
}
} // namespace

std::string encodeGossip(const GossipMessage& _message)
{
	const Json fields = Json::array(
		{kFormat, _message.run.name, _message.run.incarnation, _message.host, _message.sent, _message.echo,
		 _message.wallClock, _message.configVersion, _message.storeRevision, _message.configAge, _message.leaving,
		 _message.members, encodeQuotas(_message.quotas), encodeLoads(_message.loads), encodeUsage(_message.usage),
		 encodeDemand(_message.demand), _message.draining, _message.uptime});
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	return bytes;
}

std::optional<GossipMessage> decodeGossip(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	if (!fields.is_array() || fields.size() < 18 || fields[0] != kFormat)
	{
		return std::nullopt;
	}
	try
	{
		GossipMessage message;
		message.run.name = fields[1].get<std::string>();
		message.run.incarnation = fields[2].get<std::uint64_t>();
		message.host = fields[3].get<std::string>();
		message.sent = fields[4].get<Micros>();
		message.echo = fields[5].get<Micros>();
		message.wallClock = fields[6].get<Micros>();
		message.configVersion = fields[7].get<std::uint64_t>();
		message.storeRevision = fields[8].get<std::uint64_t>();
		message.configAge = fields[9].get<Micros>();
		message.leaving = fields[10].get<bool>();
		message.members = fields[11].get<std::vector<std::string>>();
		decodeLists(fields[12], fields[13], fields[14], message);
		for (const Json& report : fields[15])
		{
			message.demand.push_back(
				{report.at(0).get<std::string>(), report.at(1).get<double>(), report.at(2).get<double>()});
		}
		message.draining = fields[16].get<std::vector<std::string>>();
		message.uptime = fields[17].get<Micros>();
		return message;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
