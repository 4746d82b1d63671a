// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Faults in which backend servers announce a backoff or a departure in their answers only.

#include "daemon/clock.h"
#include "soak/soak_p.h"

#include <algorithm>
#include <array>

namespace beacongate::soak
{
Soak::Backend& Soak::stayingBackend()
{
	std::vector<Backend*> staying;
	for (const auto& backend : m_backends)
	{
		if (!backend->leaving)
		{
			staying.push_back(backend.get());
		}
	}
	return *staying[drawn(staying.size())];
}

void Soak::askForBackoff()
{
	// The values are whole seconds, fractions, zero, and invalid values.
	constexpr std::array kValues = {"3", "2", "1", "4", "0.7", "2.5", "3", "0", "-2", "soon"};
	constexpr std::array kFaults = {standin::WorkerFault::Rejects, standin::WorkerFault::RejectsSome,
									standin::WorkerFault::RejectsSome};
	Backend& backend = stayingBackend();
	if (backend.turnsAway)
	{
		return;
	}
	backend.turnsAway = true;
	const std::size_t disruption = disrupt("backend", std::nullopt, true);
	backend.worker->setRetryAfter(kValues[drawn(kValues.size())]);
	backend.worker->setFault(kFaults[drawn(kFaults.size())]);
	later(drawnSpan(200 * kMillisecond, 3 * kSecond),
		  [this, &backend, disruption]
		  {
			  backend.worker->setFault(standin::WorkerFault::None);
			  backend.turnsAway = false;
			  calmDown(disruption);
		  });
}

void Soak::leaveInAnswers()
{
	// The record in the store shows the departure only later.
	addBackend();
	Backend& backend = stayingBackend();
	backend.leaving = true;
	backend.worker->setLeaving(true);
	failStore();
	later(drawnSpan(kSecond, 6 * kSecond),
		  [this, &backend]
		  {
			  putRecord(backend, "draining");
			  const std::lock_guard<std::mutex> guard(m_mutex);
			  m_seen.departures.push_back({backend.id, monotonicNow()});
		  });
}

void Soak::injectAnswers()
{
	const auto number = static_cast<unsigned>(drawn(m_gateways.size()));
	const Gateway& gateway = *m_gateways[number];
	const bool steady = !gateway.asked && !gateway.paused && gateway.process->running();
	switch (drawn(14))
	{
	case 0:
	case 1:
		steady ? holdUpGateway(number) : void();
		break;
	case 2:
		steady ? pauseGateway(number) : void();
		break;
	case 3:
		steady ? killGateway(number) : void();
		break;
	case 4:
		steady ? stopGateway(number) : void();
		break;
	case 5:
		gateway.cut ? void() : slowStore(number);
		break;
	case 6:
	case 7:
		leaveInAnswers();
		break;
	default:
		askForBackoff();
		break;
	}
}

} // namespace beacongate::soak
