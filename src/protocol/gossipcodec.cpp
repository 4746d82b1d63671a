// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "protocol/gossipcodec.h"

#include "protocol/json.h"

#include <algorithm>

namespace beacongate
{
namespace
{
/// Format of the datagrams that are sent. Gateways of two builds run side by side while VMs are replaced, and
/// builds in service accept this number only with exactly its fields: docs/DESIGN.md says how a field is added.
constexpr std::uint64_t kFormat = 7;
/// Oldest format that is accepted.
constexpr std::uint64_t kOldestFormat = 6;
constexpr std::size_t kFormat6FieldCount = 26; ///< Format 7 added the quota levels.
constexpr std::size_t kFormat7FieldCount = 27;

/// A later format may have more fields at its end. They are ignored; this build does not depend on them.
/// @returns true if the fields have the number and count of a supported format.
bool isSupportedFormat(const Json& _fields)
{
	if (!_fields.is_array() || _fields.size() < kFormat6FieldCount || !_fields[0].is_number_unsigned())
	{
		return false;
	}
	const auto format = _fields[0].get<std::uint64_t>();
	if (format <= kFormat)
	{
		return format >= kOldestFormat &&
			   _fields.size() == (format == kOldestFormat ? kFormat6FieldCount : kFormat7FieldCount);
	}
	return _fields.size() >= kFormat7FieldCount;
}

Json encodeQuotas(const std::vector<QuotaReport>& _quotas)
{
	Json list = Json::array();
	for (const QuotaReport& quota : _quotas)
	{
		list.push_back(Json::array({quota.team, quota.taken}));
	}
	return list;
}

Json encodeLevels(const std::vector<QuotaLevel>& _levels)
{
	Json list = Json::array();
	for (const QuotaLevel& level : _levels)
	{
		list.push_back(Json::array({level.team, level.left}));
	}
	return list;
}

std::vector<QuotaLevel> decodeLevels(const Json& _list)
{
	std::vector<QuotaLevel> levels;
	for (const Json& level : _list)
	{
		levels.push_back({level.at(0).get<std::string>(), level.at(1).get<double>()});
	}
	return levels;
}

/// Encoded size of a load in bytes: 4 for the backend server's key, 1 for its requests, 2 for its prompt tokens. As
/// lists with ids, the loads of 204 engines took 3.9 kB, which does not fit into two packets.
constexpr std::size_t kLoadBytes = 7;
constexpr unsigned kMaxInFlight = 0xFF;
/// Pending prompt tokens are encoded in units of this many tokens.
constexpr std::uint64_t kTokenUnit = 16;
constexpr std::uint64_t kMaxTokenUnits = 0xFFFF;
/// Maximum number of loads in one message; receivers count the other backend servers as idle. See keepBusiest().
constexpr std::size_t kMaxLoads = 512;

void appendLittleEndian(std::string& _bytes, std::uint64_t _value, std::size_t _count)
{
	for (std::size_t index = 0; index < _count; ++index)
	{
		_bytes.push_back(static_cast<char>(_value >> (8 * index) & 0xFF));
	}
}

std::uint64_t readLittleEndian(std::string_view _bytes)
{
	std::uint64_t value = 0;
	for (std::size_t index = _bytes.size(); index-- > 0;)
	{
		value = value << 8 | static_cast<unsigned char>(_bytes[index]);
	}
	return value;
}

std::string encodeLoads(const std::vector<BackendLoad>& _loads)
{
	std::string bytes;
	for (const BackendLoad& load : _loads)
	{
		if (bytes.size() == kMaxLoads * kLoadBytes)
		{
			break;
		}
		appendLittleEndian(bytes, load.key.value, 4);
		appendLittleEndian(bytes, std::min(load.inFlight, kMaxInFlight), 1);
		appendLittleEndian(bytes, std::min(load.pendingTokens / kTokenUnit, kMaxTokenUnits), 2);
	}
	return bytes;
}

std::vector<BackendLoad> decodeLoads(std::string_view _bytes)
{
	std::vector<BackendLoad> loads;
	for (; _bytes.size() >= kLoadBytes; _bytes.remove_prefix(kLoadBytes))
	{
		BackendLoad load;
		load.key.value = static_cast<std::uint32_t>(readLittleEndian(_bytes.substr(0, 4)));
		load.inFlight = static_cast<unsigned>(readLittleEndian(_bytes.substr(4, 1)));
		load.pendingTokens = readLittleEndian(_bytes.substr(5, 2)) * kTokenUnit;
		loads.push_back(load);
	}
	return loads;
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

Json encodeDataCentreUsage(const RunCounts& _usage)
{
	Json list = Json::array();
	for (const auto& [run, count] : _usage)
	{
		list.push_back(Json::array({run.name, run.incarnation, count.window, count.team, count.count}));
	}
	return list;
}

RunCounts decodeDataCentreUsage(const Json& _list)
{
	RunCounts usage;
	for (const Json& entry : _list)
	{
		usage.emplace_back(GatewayRun{entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>()},
						   UsageCount{entry.at(2).get<std::uint64_t>(), entry.at(3).get<std::string>(),
									  entry.at(4).get<std::uint64_t>()});
	}
	return usage;
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

Json encodeBackends(const std::vector<BackendIdentity>& _backends)
{
	Json list = Json::array();
	for (const BackendIdentity& backend : _backends)
	{
		list.push_back(Json::array({backend.id, backend.born}));
	}
	return list;
}

std::vector<BackendIdentity> decodeBackends(const Json& _list)
{
	std::vector<BackendIdentity> backends;
	for (const Json& backend : _list)
	{
		backends.push_back({backend.at(0).get<std::string>(), backend.at(1).get<std::uint64_t>()});
	}
	return backends;
}

void decodeQuotasAndUsage(const Json& _quotas, const Json& _usage, GossipMessage& _message)
{
	for (const Json& quota : _quotas)
	{
		_message.quotas.push_back({quota.at(0).get<std::string>(), quota.at(1).get<double>()});
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
	const Json fields = Json::array({kFormat,
									 static_cast<unsigned>(_message.kind),
									 _message.run.name,
									 _message.run.incarnation,
									 _message.host,
									 _message.sent,
									 _message.echo,
									 _message.wallClock,
									 _message.configVersion,
									 _message.storeRevision,
									 _message.configAge,
									 _message.leaving,
									 _message.members,
									 encodeQuotas(_message.quotas),
									 encodeLoads(_message.loads),
									 encodeUsage(_message.usage),
									 encodeDemand(_message.demand),
									 encodeBackends(_message.draining),
									 _message.uptime,
									 _message.dataCentre,
									 _message.contentFingerprint,
									 _message.contentAge,
									 _message.whole,
									 _message.wantsSums,
									 _message.gateways,
									 encodeDataCentreUsage(_message.dataCentreUsage),
									 encodeLevels(_message.levels)});
	std::string bytes;
	Json::to_msgpack(fields, bytes);
	return bytes;
}

std::optional<GossipMessage> decodeGossip(std::string_view _bytes)
{
	const Json fields = Json::from_msgpack(_bytes.begin(), _bytes.end(), true, false);
	if (!isSupportedFormat(fields))
	{
		return std::nullopt;
	}
	try
	{
		GossipMessage message;
		const auto kind = fields[1].get<unsigned>();
		if (kind > static_cast<unsigned>(GossipKind::Echo))
		{
			return std::nullopt;
		}
		message.kind = static_cast<GossipKind>(kind);
		message.run.name = fields[2].get<std::string>();
		message.run.incarnation = fields[3].get<std::uint64_t>();
		message.host = fields[4].get<std::string>();
		message.sent = fields[5].get<Micros>();
		message.echo = fields[6].get<Micros>();
		message.wallClock = fields[7].get<Micros>();
		message.configVersion = fields[8].get<std::uint64_t>();
		message.storeRevision = fields[9].get<std::uint64_t>();
		message.configAge = fields[10].get<Micros>();
		message.leaving = fields[11].get<bool>();
		message.members = fields[12].get<std::vector<std::string>>();
		decodeQuotasAndUsage(fields[13], fields[15], message);
		message.loads = decodeLoads(fields[14].get_ref<const std::string&>());
		for (const Json& report : fields[16])
		{
			message.demand.push_back(
				{report.at(0).get<std::string>(), report.at(1).get<double>(), report.at(2).get<double>()});
		}
		message.draining = decodeBackends(fields[17]);
		message.uptime = fields[18].get<Micros>();
		message.dataCentre = fields[19].get<std::string>();
		message.contentFingerprint = fields[20].get<std::uint64_t>();
		message.contentAge = fields[21].get<Micros>();
		message.whole = fields[22].get<bool>();
		message.wantsSums = fields[23].get<bool>();
		message.gateways = fields[24].get<std::size_t>();
		message.dataCentreUsage = decodeDataCentreUsage(fields[25]);
		// Format 6 has no levels; without them, a gateway that starts enforces its own share of each limit.
		message.levels = fields.size() > kFormat6FieldCount ? decodeLevels(fields[kFormat6FieldCount])
															: std::vector<QuotaLevel>();
		return message;
	}
	catch (const Json::exception&)
	{
		return std::nullopt;
	}
}

} // namespace beacongate
