// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Servers of different speeds, and teams that send several times their usual load at times.

#include "soak/soak_p.h"

#include <array>

namespace beacongate::soak
{
namespace
{
constexpr const char* kSmallService = "small";
constexpr std::array kLasting = {0.6, 1.0, 1.6};
/// Mean factor of noise: 15 in 100 of the time 2.5 times as long.
constexpr double kMeanNoise = 1.225;
constexpr double kTokensPerMilli = 60.0;
constexpr Micros kSmallCallTime = 30 * kMillisecond;
constexpr Micros kEngineTarget = 800 * kMillisecond;
/// Usual load of each team as a share of the capacity. Callers of the soak add up to a quarter.
constexpr double kUsualShare = 0.06;

/// A team without a limit.
struct TeamShape
{
	const char* name;
	bool streams;
};
constexpr std::array kShapes = {TeamShape{"chat", true}, TeamShape{"code", true}, TeamShape{"batch", true},
								TeamShape{"app", false}};
} // namespace

void Soak::setPace(Backend& _backend) const
{
	const std::size_t number = m_backends.size();
	const bool small = number >= kManyBackends;
	_backend.service = small ? kSmallService : standin::kSiteService;
	_backend.slots = small ? kSmallSlots : kEngineSlots;
	_backend.lasting = kLasting[number % kLasting.size()];
	standin::WorkerPace pace;
	pace.slots = _backend.slots;
	pace.statesSlowdown = true;
	pace.lasting = _backend.lasting;
	pace.noisy = true;
	pace.seed = static_cast<unsigned>(m_options.seed * (kManyBackends + kSmallBackends) + number);
	pace.tokensPerMilli = small ? 0.0 : kTokensPerMilli;
	_backend.worker->setPace(pace);
	_backend.worker->setRoom(_backend.slots);
	small ? _backend.worker->setCallTime(kSmallCallTime) : void();
}

void Soak::addUnevenRoutes(standin::SiteConfig& _config) const
{
	_config.engineSlots = kEngineSlots;
	_config.services = {{kSmallService}};
	for (standin::SiteRoute& route : _config.routes)
	{
		const bool streams = route.kind == "streaming";
		route.service = streams ? standin::kSiteService : kSmallService;
		route.targetLatency = streams ? kEngineTarget : 0;
	}
}

void Soak::startUnevenTeams()
{
	startLoad();
	for (const TeamShape& shape : kShapes)
	{
		m_teams.push_back({shape.name, std::string("key-") + shape.name});
	}
	ServedCapacity streams{true};
	ServedCapacity calls{false};
	for (const auto& backend : m_backends)
	{
		const double speed = 1.0 / (backend->lasting * kMeanNoise);
		const bool small = backend->service == kSmallService;
		streams.perSecond += small ? 0.0 : 1000.0 * kTokensPerMilli * speed;
		calls.perSecond += small ? kSmallSlots / secondsOf(kSmallCallTime) * speed : 0.0;
	}
	m_seen.capacities = {streams, calls};
}

void Soak::changeUnevenLoad(bool _burst)
{
	constexpr std::array kBursts = {1.0, 4.0, 8.0};
	for (const TeamShape& shape : kShapes)
	{
		const double capacity =
			shape.streams ? m_seen.capacities[0].perSecond / kMeanPromptTokens : m_seen.capacities[1].perSecond;
		const double factor = _burst ? kBursts[drawIndex(kBursts.size())] : 1.0;
		m_load->set({shape.name, std::string("key-") + shape.name, factor * kUsualShare * capacity,
					 shape.streams ? kMeanPromptTokens : 0.0, shape.streams});
	}
}

void Soak::injectUnevenFault()
{
	const std::size_t kind = drawIndex(12);
	// The faults of gateways have the first numbers.
	constexpr std::size_t kGatewayFaults = 6;
	kind < kGatewayFaults ? disturbGateway(kind) : changeUnevenLoad(kind % 2 == 0);
}

} // namespace beacongate::soak
