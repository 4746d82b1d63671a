// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Chooses the backend server for a request.

#ifndef BEACONGATE_COORDINATION_ROUTER_H
#define BEACONGATE_COORDINATION_ROUTER_H

#include "state/backends.h"
#include "state/prefixindex.h"

#include <random>
#include <string>

namespace beacongate
{
/// Routing policies; all but ExpectedFirstToken exist for comparison in the benchmarks.
enum class RoutePolicy
{
	RoundRobin,
	LeastOutstanding,
	PowerOfTwo,
	ExpectedFirstToken,
};

/// Inputs of a choice.
struct RouteQuery
{
	ServiceHandle service;
	std::uint64_t promptTokens = 0;
	const BlockChain* chain = nullptr;
	std::string avoidDataCentre; ///< Failure domain of the last failed attempt, or empty.
	BackendHandle avoid;         ///< Backend server of the last failed attempt, or invalid.
	Micros now = 0;
};

/// A choice and the figures that it was based on.
struct RouterChoice
{
	BackendHandle backend;
	std::uint64_t expectedTokens = 0; ///< Prompt tokens to compute before the first token.
	std::uint64_t cachedTokens = 0;   ///< Prompt tokens expected in its cache.
	std::uint32_t weighed = 0;        ///< Number of backend servers that could have taken the request.
};

/// Chooses backend servers for requests. Its only state is the round-robin position and a seeded random
/// generator.
class Router
{
public:
	/// @param[in] _seed Seed of the random generator, so that a run can be reproduced.
	Router(RoutePolicy _policy, std::uint64_t _seed);

	/// Chooses among the service's backend servers that take work and have a free slot.
	/// @returns the choice; its handle is invalid if no backend server can take the request.
	RouterChoice choose(const BackendTable& _backends, const RouteQuery& _query);

private:
	RoutePolicy m_policy;
	std::mt19937_64 m_random;
	std::uint64_t m_next = 0;
	std::vector<BackendHandle> m_free;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ROUTER_H
