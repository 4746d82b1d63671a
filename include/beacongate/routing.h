// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Routing configuration of a gateway: routes, services, the teams' keys and quotas, and backend server records.

#ifndef BEACONGATE_ROUTING_H
#define BEACONGATE_ROUTING_H

#include "beacongate/config.h"
#include "beacongate/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace beacongate
{
/// Kind of a route: states if its requests may be repeated, and the form of its answers.
enum class RouteKind
{
	Safe,   ///< A request may run more than once.
	Unsafe, ///< A request runs at most once.
	Stream, ///< The answer is an event stream; a request runs at most once unless the route is resumable.
};

/// One of the services that share a route's traffic.
struct WeightedService
{
	std::string service;
	unsigned weight = 1;
};

/// One route.
struct Route
{
	std::string name;
	std::string host;       ///< Lower case, without a port.
	std::string pathPrefix; ///< Begins and ends with a slash.
	RouteKind kind = RouteKind::Unsafe;
	Micros timeout = 0;       ///< Deadline of a request.
	Micros targetLatency = 0; ///< Target latency of an answer.
	Micros targetGap = 0;     ///< Target for the longest gap between events; 0 for none.
	unsigned priority = 5;    ///< 0 is the most urgent.
	std::vector<WeightedService> split;
	unsigned maxAttempts = 1; ///< Largest number of attempts for one request.
	bool allowAnonymous = false;
	bool resumable = false; ///< A stream may be resumed on another backend server.

	/// @returns true if a request may be sent again after it may have run.
	bool repeatable() const
	{
		return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable);
	}
};

/// Capabilities of a service's model engines.
struct EngineSettings
{
	unsigned slots = 0;
	std::uint64_t kvCapacityTokens = 0;
	bool movesRuns = false;
	bool keepsBackups = false;
};

/// Bounds and prices by which the capacity of a service is ordered.
struct ScalingSettings
{
	unsigned minimum = 0; ///< Of each data centre.
	unsigned maximum = 0; ///< Of each data centre.
	Micros bootTime = 0;
	double spotPrice = 1.0;                   ///< Price of a spot backend server relative to an on-demand one.
	std::map<std::string, double> zonePrices; ///< Relative price, by data centre.
};

/// A service whose backend servers register themselves.
struct PooledService
{
	std::string name;
	std::string healthPath;
	unsigned maxConnections = 0;
	std::optional<EngineSettings> engine;
	std::optional<ScalingSettings> scaling;
};

/// A team's keys and its quota.
struct TeamAccess
{
	std::string name;
	std::vector<std::string> keys;
	std::optional<unsigned> priority; ///< Overrides the priority of the route.
	bool countsTokens = false;        ///< The quota counts tokens, not requests.
	std::uint64_t plainTokens = 0;    ///< Tokens charged for a request that does not state a number.
	double ratePerSecond = 0.0;       ///< 0 for no limit.
	double burst = 0.0;
};

/// Size limits and timeouts of callers' requests.
struct RequestLimits
{
	std::size_t headerBytes = limits::kRequestHeaderBytes;
	std::size_t bodyBytes = limits::kRequestBodyBytes;
	Micros headerTimeout = limits::kDefaultHeaderTimeout;
	Micros idleTimeout = limits::kDefaultIdleTimeout;
};

/// One version of the operators' routing configuration. It is immutable once buildIndex() has run.
struct RoutingConfig
{
	std::uint64_t version = 0;
	std::vector<Route> routes;
	std::vector<PooledService> services;
	std::vector<TeamAccess> teams;
	RequestLimits limits;

	/// Builds the indices behind the find functions.
	void buildIndex();

	/// @returns the route of the host with the longest matching path prefix, or nullptr.
	const Route* findRoute(std::string_view _host, std::string_view _path) const;

	/// @returns the team that owns the key, or nullptr.
	const TeamAccess* findTeamByKey(std::string_view _key) const;

	/// @returns the service of that name, or nullptr.
	const PooledService* findService(std::string_view _name) const;

private:
	std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
	std::unordered_map<std::string, std::size_t> m_teamByKey;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

/// Identifies one incarnation of a backend server. A server that restarts under the same id has lost its state, so
/// nothing recorded about an earlier incarnation applies to a later one.
struct BackendIdentity
{
	std::string id;
	std::uint64_t born = 0; ///< Start time in Unix milliseconds; 0 where it is not given.
	auto operator<=>(const BackendIdentity&) const = default;
	bool operator==(const BackendIdentity&) const = default;
};

/// Record that a backend server registers in the store.
struct BackendRecord
{
	std::string id;
	std::uint64_t born = 0; ///< Start time of the incarnation in Unix milliseconds; 0 where it is not given.
	std::string service;
	std::string version; ///< Version of its software.
	Address address;
	std::string dataCentre;
	unsigned slots = 1;
	bool draining = false;
	bool spot = false;            ///< Spot instance that the platform may reclaim.
	std::optional<Micros> leaves; ///< Time until it is terminated, as of the record.
	Micros coldRemaining = 0;

	/// @returns the incarnation that the record describes.
	BackendIdentity identity() const
	{
		return {id, born};
	}
};

} // namespace beacongate

#endif // BEACONGATE_ROUTING_H
