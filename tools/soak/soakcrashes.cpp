// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Requests that crash the backend servers that run them, and crashes without a cause.

#include "daemon/clock.h"
#include "soak/soak_p.h"

#include <array>

namespace beacongate::soak
{
namespace
{
constexpr std::array kCrashingBodies = {"crash-1", "crash-2"};
/// One in this many requests crashes its backend server.
constexpr unsigned kCrashingPeriod = 40;
constexpr unsigned kBodies = 200; ///< Number of different bodies of other requests.
constexpr Micros kDowntime = 3 * kSecond;
constexpr Micros kCallTime = 20 * kMillisecond;
} // namespace

void Soak::setCrashRule(Backend& _backend)
{
	standin::WorkerCrashRule rule;
	rule.bodies.assign(kCrashingBodies.begin(), kCrashingBodies.end());
	rule.downtime = kDowntime;
	rule.onCrash = [&_backend]
	{
		_backend.link->setListening(false);
	};
	rule.onRestart = [this, &_backend]
	{
		++_backend.born;
		_backend.link->setListening(true);
		putRecord(_backend, "ready");
	};
	_backend.worker->setCrashRule(rule);
	_backend.worker->setCallTime(kCallTime);
}

void Soak::makeCrashing(ObservedRequest& _request, std::minstd_rand& _random) const
{
	if (_random() % kCrashingPeriod != 0)
	{
		_request.body = "body-" + std::to_string(_random() % kBodies);
		return;
	}
	_request.kind = _random() % 2 == 0 ? RequestKind::Unsafe : RequestKind::StreamAgain;
	_request.crashes = true;
	_request.body = kCrashingBodies[_random() % kCrashingBodies.size()];
}

void Soak::crashBackend()
{
	const std::size_t disruption = beginDisruption("backend", std::nullopt, true);
	m_backends[drawIndex(m_backends.size())]->worker->crashNow();
	schedule(kDowntime, [this, disruption] { endDisruption(disruption); });
}

void Soak::disturbGateway(std::size_t _kind)
{
	const auto number = static_cast<unsigned>(drawIndex(m_gateways.size()));
	const Gateway& gateway = *m_gateways[number];
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	switch (_kind)
	{
	case 0:
		isRunning ? stallGateway(number) : void();
		break;
	case 1:
		isRunning ? pauseGateway(number) : void();
		break;
	case 2:
		isRunning ? killGateway(number) : void();
		break;
	case 3:
		isRunning ? stopGateway(number) : void();
		break;
	case 4:
		failStore();
		break;
	case 5:
		gateway.storeLinkFaulty ? void() : slowStore(number);
		break;
	default:
		break;
	}
}

void Soak::injectCrashFault()
{
	const std::size_t kind = drawIndex(10);
	switch (kind)
	{
	case 8:
		crashBackend();
		break;
	case 9:
		cutBackend();
		break;
	default:
		disturbGateway(kind);
		break;
	}
}

} // namespace beacongate::soak
