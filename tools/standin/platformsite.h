// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Formats the documents of a small test deployment as the platform does: gateway settings, backend server records
/// and configurations.

#ifndef BEACONGATE_TOOLS_STANDIN_PLATFORMSITE_H
#define BEACONGATE_TOOLS_STANDIN_PLATFORMSITE_H

#include "beacongate/config.h"

#include <string>
#include <vector>

namespace beacongate::standin
{
/// Name of the deployment's service, or of its first one.
inline constexpr const char* kSiteService = "s";

/// A route to the service.
struct SiteRoute
{
	std::string path;
	std::string kind;
	unsigned attempts = 1;
	bool resume = false;
	bool anonymous = false;
	std::string service = kSiteService;
	Micros timeout = 0;       ///< 0 for that of the configuration.
	Micros targetLatency = 0; ///< 0 for that of the configuration.
	unsigned priority = 1;    ///< 0 is the most urgent.
};

/// A service besides kSiteService.
struct SiteService
{
	std::string name;
	unsigned engineSlots = 0; ///< 0 for a service without engines.
};

/// A team that can have a rate limit.
struct SiteTeam
{
	std::string name;
	std::string key;
	double ratePerSecond = 0.0; ///< Refill rate of the limit; 0 is no limit.
	double burst = 0.0;
	bool countsTokens = false; ///< The limit counts generated tokens instead of requests.
};

/// A configuration with kSiteService and further services, one team without a rate limit, and further teams.
struct SiteConfig
{
	std::uint64_t version = 1;
	std::string host;
	std::vector<SiteRoute> routes;
	std::vector<std::string> keys;          ///< API keys of the team without a rate limit.
	std::vector<SiteTeam> teams;            ///< Further teams.
	std::vector<SiteService> services = {}; ///< Further services.
	unsigned engineSlots = 0;               ///< Slots of the engines of kSiteService; 0 if it has none.
	Micros timeout = 2 * kSecond;
	Micros targetLatency = 400 * kMillisecond;
	Micros headerTimeout = 300 * kMillisecond;
	Micros idleTimeout = 1500 * kMillisecond;
	std::size_t bodyBytes = 1000;
};

/// @returns the configuration as a JSON document.
std::string formatConfig(const SiteConfig& _config);

/// Start time of a backend server that has not restarted, in Unix milliseconds.
inline constexpr std::uint64_t kFirstStartTimeMs = 1'700'000'000'000;

/// @returns a backend server's record as a JSON document.
/// @param[in] _state State in the platform's terms: ready or draining.
/// @param[in] _born Start time of the backend server, in Unix milliseconds.
/// @param[in] _version Version of its software.
/// @param[in] _service Name of its service.
std::string formatRecord(const Address& _address, unsigned _slots, const std::string& _state,
						 std::uint64_t _born = kFirstStartTimeMs, const std::string& _version = "v1",
						 const std::string& _service = kSiteService);

/// Values of a gateway's settings file.
struct SiteGateway
{
	std::string name;
	std::string dataCentre;
	std::string host;
	std::uint16_t callerPort = 0;
	std::uint16_t readyPort = 0;
	std::uint16_t controlPort = 0;
	std::uint16_t gossipPort = 0;
	std::vector<std::string> seedHosts;
	Address store;
	Address duties;
	Micros grace = 8 * kSecond;
	Micros revocation = 5 * kSecond;
	Micros usageWindow = kSecond;
	bool firstStart = false; ///< The deployment starts for the first time.
};

/// @returns the settings file as a JSON document.
std::string formatSettings(const SiteGateway& _gateway);

} // namespace beacongate::standin

#endif // BEACONGATE_TOOLS_STANDIN_PLATFORMSITE_H
