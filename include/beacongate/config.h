// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// The operators' configuration as typed values. The JSON form and its checks are
/// in protocol/configdoc.h, the schema in docs/config.schema.json.

#ifndef BEACONGATE_CONFIG_H
#define BEACONGATE_CONFIG_H

#include "beacongate/limits.h"
#include "beacongate/types.h"

#include <string>
#include <vector>

namespace beacongate
{
/// IP address and TCP port on which a process listens.
struct Address
{
	std::string host;
	std::uint16_t port = 0;
	auto operator<=>(const Address&) const = default;
	bool operator==(const Address&) const = default;
};

/// One team (a tenant that sends requests).
struct TeamConfig
{
	std::string name;
	std::string token;   ///< Bearer token that identifies the team.
	double weight = 1.0; ///< Relative share while requests of several teams are queued.
	std::uint32_t maxQueued = limits::kDefaultTeamQueue;
};

/// Protocol that a service's backend servers speak.
enum class ServiceKind
{
	Model, ///< Model engine with OpenAI-style streaming.
	Plain, ///< Any HTTP service.
};

/// One service or model.
struct ServiceConfig
{
	std::string name;
	ServiceKind kind = ServiceKind::Plain;
	bool repeatable = false; ///< A request may be sent again after it may have run.
	Micros targetFirstToken = 1500 * kMillisecond;
};

/// One backend server.
struct BackendConfig
{
	std::string id;
	std::string service;
	Address address;
	std::string vm;
	std::string dataCentre;
	std::uint32_t slots = 8;    ///< Concurrent attempts that one entry runs on it.
	bool drained = false;       ///< Operators took it out of service; it gets no new requests.
	bool checksFencing = false; ///< It checks the fencing token of a leader's order.
};

/// One version of the whole configuration.
struct Config
{
	std::uint64_t version = 0;
	std::vector<TeamConfig> teams;
	std::vector<ServiceConfig> services;
	std::vector<BackendConfig> backends;

	/// @returns the team with that bearer token, or nullptr.
	const TeamConfig* findTeamByToken(std::string_view _token) const;

	/// @returns the service of that name, or nullptr.
	const ServiceConfig* findService(std::string_view _name) const;
};

} // namespace beacongate

#endif // BEACONGATE_CONFIG_H
