// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "standin/platformsite.h"

#include "protocol/configdoc.h"
#include "protocol/json.h"

namespace beacongate::standin
{
namespace
{
constexpr unsigned kMaxConnections = 200;

Json formatRoute(const SiteRoute& _route, const SiteConfig& _config)
{
	return {{"name", _route.path},
			{"host", _config.host},
			{"pathPrefix", _route.path},
			{"kind", _route.kind},
			{"timeoutMs", (_route.timeout > 0 ? _route.timeout : _config.timeout) / kMillisecond},
			{"targetLatencyMs",
			 (_route.targetLatency > 0 ? _route.targetLatency : _config.targetLatency) / kMillisecond},
			{"service", _route.service},
			{"maxAttempts", _route.attempts},
			{"streamResume", _route.resume},
			{"priority", _route.priority},
			{"allowAnonymous", _route.anonymous}};
}

Json formatTeam(const SiteTeam& _team)
{
	return {{"name", _team.name},
			{"apiKeys", {_team.key}},
			{"ratePerS", _team.ratePerSecond},
			{"burst", _team.burst},
			{"unit", _team.countsTokens ? "generation" : "requests"}};
}

Json formatService(const SiteService& _service)
{
	Json service{{"name", _service.name}, {"maxConnections", kMaxConnections}};
	if (_service.engineSlots > 0)
	{
		service["engine"] = {{"slots", _service.engineSlots}};
	}
	return service;
}

std::string formatAddress(const std::string& _host, std::uint16_t _port)
{
	return toString(Address{_host, _port});
}
} // namespace

std::string formatConfig(const SiteConfig& _config)
{
	Json routes = Json::array();
	for (const SiteRoute& route : _config.routes)
	{
		routes.push_back(formatRoute(route, _config));
	}
	Json teams = Json::array();
	teams.push_back({{"name", "t"}, {"apiKeys", _config.keys}, {"ratePerS", 0}});
	for (const SiteTeam& team : _config.teams)
	{
		teams.push_back(formatTeam(team));
	}
	Json services = Json::array({formatService({kSiteService, _config.engineSlots})});
	for (const SiteService& service : _config.services)
	{
		services.push_back(formatService(service));
	}
	const Json document{{"version", _config.version},
						{"routes", routes},
						{"services", services},
						{"limits",
						 {{"headerTimeoutMs", _config.headerTimeout / kMillisecond},
						  {"idleTimeoutMs", _config.idleTimeout / kMillisecond},
						  {"maxBodyBytes", _config.bodyBytes}}},
						{"tenants", teams}};
	return document.dump();
}

std::string formatRecord(const Address& _address, unsigned _slots, const std::string& _state, std::uint64_t _born,
						 const std::string& _version, const std::string& _service)
{
	const Json record{
		{"service", _service}, {"address", toString(_address)}, {"zone", "z1"},        {"slots", _slots},
		{"state", _state},     {"coldRemainingMs", 0},          {"version", _version}, {"sequence", 1},
		{"born", _born}};
	return record.dump();
}

std::string formatSettings(const SiteGateway& _gateway)
{
	Json seeds = Json::array();
	for (const std::string& host : _gateway.seedHosts)
	{
		seeds.push_back(formatAddress(host, _gateway.controlPort));
	}
	const Json settings{{"nodeName", _gateway.name},
						{"zone", _gateway.dataCentre},
						{"zones", {{_gateway.dataCentre, "r"}}},
						{"listen",
						 {{"frontend", formatAddress(_gateway.host, _gateway.callerPort)},
						  {"readiness", formatAddress(_gateway.host, _gateway.readyPort)},
						  {"control", formatAddress(_gateway.host, _gateway.controlPort)}}},
						{"internalPortRange", {_gateway.gossipPort, _gateway.gossipPort}},
						{"seeds", seeds},
						{"bootstrap", _gateway.firstStart},
						{"platform", {{"address", toString(_gateway.store)}}},
						{"cloudApi", {{"address", toString(_gateway.duties)}, {"duties", {"usage_reporting"}}}},
						{"bounds",
						 {{"graceS", _gateway.grace / kSecond},
						  {"strictRevoke", true},
						  {"revokeMs", _gateway.revocation / kMillisecond},
						  {"leaseMs", 3000},
						  {"usageWindowS", _gateway.usageWindow / kSecond},
						  {"retryBudgetRatio", 0.2},
						  {"budgetSlack", 50},
						  {"budgetWindowS", 10}}}};
	return settings.dump(1);
}

} // namespace beacongate::standin
