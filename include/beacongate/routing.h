// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// What a gateway routes by: routes, services, teams' keys and quotas, backend servers.

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
/// What may be repeated on a route, and what its answers look like.
enum class RouteKind
{
	Safe,   ///< A call that may run more than once.
	Unsafe, ///< A call that runs at most once.
	Stream, ///< An event stream; runs at most once unless the route is resumable.
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
	Micros timeout = 0;       ///< Longest time that a request is held.
	Micros targetLatency = 0; ///< Time within which an answer is worth most.
	Micros targetGap = 0;     ///< Longest pause between events; 0 where none is given.
	unsigned priority = 5;    ///< 0 is the most urgent.
	std::vector<WeightedService> split;
	unsigned maxAttempts = 1; ///< Backend servers that one request may be sent to.
	bool allowAnonymous = false;
	bool resumable = false; ///< A stream may go on at another backend server.

	/// @returns whether a request may be sent again after it may have run.
	bool repeatable() const
	{
		return kind == RouteKind::Safe || (kind == RouteKind::Stream && resumable);
	}
};

/// What a service's model engines can do.
struct EngineSettings
{
	unsigned slots = 0;
	std::uint64_t kvCapacityTokens = 0;
	bool movesRuns = false;
	bool keepsBackups = false;
};

/// How the capacity of a service is ordered.
struct ScalingSettings
{
	unsigned minimum = 0; ///< Of each data centre.
	unsigned maximum = 0; ///< Of each data centre.
	Micros bootTime = 0;
	double spotPrice = 1.0;                   ///< Against an on-demand backend server.
	std::map<std::string, double> zonePrices; ///< By data centre.
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
	std::optional<unsigned> priority; ///< Goes before the route's.
	bool countsTokens = false;        ///< The quota counts tokens, not requests.
	std::uint64_t plainTokens = 0;    ///< Tokens of a request that names none.
	double ratePerSecond = 0.0;       ///< 0 is no limit.
	double burst = 0.0;
};

/// What a caller may send, and how long it may take.
struct RequestLimits
{
	std::size_t headerBytes = limits::kRequestHeaderBytes;
	std::size_t bodyBytes = limits::kRequestBodyBytes;
	Micros headerTimeout = limits::kDefaultHeaderTimeout;
	Micros idleTimeout = limits::kDefaultIdleTimeout;
};

/// One version of everything that operators decide about routing. Immutable once it is indexed.
struct RoutingConfig
{
	std::uint64_t version = 0;
	std::vector<Route> routes;
	std::vector<PooledService> services;
	std::vector<TeamAccess> teams;
	RequestLimits limits;

	/// Builds the indices behind the find functions.
	void buildIndex();

	/// @returns the route with the longest prefix of the path, or nullptr.
	const Route* findRoute(std::string_view _host, std::string_view _path) const;

	/// @returns the team that holds a key, or nullptr.
	const TeamAccess* findTeamByKey(std::string_view _key) const;

	/// @returns the service of that name, or nullptr.
	const PooledService* findService(std::string_view _name) const;

private:
	std::unordered_map<std::string, std::vector<std::size_t>> m_routesByHost;
	std::unordered_map<std::string, std::size_t> m_teamByKey;
};

using RoutingConfigPtr = std::shared_ptr<const RoutingConfig>;

/// Names one incarnation of a backend server. A server may start again under its id; it then holds and knows
/// nothing of before, so that nothing that is known of an earlier incarnation says anything of a later one.
struct BackendIdentity
{
	std::string id;
	std::uint64_t born = 0; ///< Unix milliseconds of its start; 0 where it does not say.
	auto operator<=>(const BackendIdentity&) const = default;
	bool operator==(const BackendIdentity&) const = default;
};

/// What a backend server says of itself in the store.
struct BackendRecord
{
	std::string id;
	std::uint64_t born = 0; ///< Unix milliseconds of the incarnation's start; 0 where it does not say.
	std::string service;
	Address address;
	std::string dataCentre;
	unsigned slots = 1;
	bool draining = false;
	bool spot = false;            ///< May be reclaimed.
	std::optional<Micros> leaves; ///< Span until it is gone, as of the record.
	Micros coldRemaining = 0;

	/// @returns the incarnation that the record is of.
	BackendIdentity identity() const
	{
		return {id, born};
	}
};

} // namespace beacongate

#endif // BEACONGATE_ROUTING_H
