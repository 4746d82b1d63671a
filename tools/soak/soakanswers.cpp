// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Faults in which backend servers announce a backoff or a departure in their answers only.

#include "daemon/clock.h"
#include "soak/soak_p.h"

#include <algorithm>
#include <array>

namespace beacongate::soak
{
Soak::Backend& Soak::drawStayingBackend()
{
	std::vector<Backend*> staying;
	for (const auto& backend : m_backends)
	{
		if (!backend->leaving)
		{
			staying.push_back(backend.get());
		}
	}
	return *staying[drawIndex(staying.size())];
}

void Soak::askForBackoff()
{
	// The values are whole seconds, fractions, zero, and invalid values.
	constexpr std::array kValues = {"3", "2", "1", "4", "0.7", "2.5", "3", "0", "-2", "soon"};
	constexpr std::array kFaults = {standin::WorkerFault::Rejects, standin::WorkerFault::RejectsSome,
									standin::WorkerFault::RejectsSome};
	Backend& backend = drawStayingBackend();
	if (backend.rejecting)
	{
		return;
	}
	backend.rejecting = true;
	const std::size_t disruption = beginDisruption("backend", std::nullopt, true);
	backend.worker->setRetryAfter(kValues[drawIndex(kValues.size())]);
	backend.worker->setFault(kFaults[drawIndex(kFaults.size())]);
	schedule(drawSpan(200 * kMillisecond, 3 * kSecond),
			 [this, &backend, disruption]
			 {
				 backend.worker->setFault(standin::WorkerFault::None);
				 backend.rejecting = false;
				 endDisruption(disruption);
			 });
}

void Soak::announceLeavingInAnswers()
{
	// The record in the store shows the departure only later.
	addBackend();
	Backend& backend = drawStayingBackend();
	backend.leaving = true;
	backend.worker->setLeaving(true);
	failStore();
	schedule(drawSpan(kSecond, 6 * kSecond),
			 [this, &backend]
			 {
				 putRecord(backend, "draining");
				 const std::lock_guard<std::mutex> guard(m_mutex);
				 m_seen.departures.push_back({backend.id, monotonicNow()});
			 });
}

void Soak::nameLimit()
{
	constexpr std::array kLimits = {0.5, 1.0, 2.0, 4.0};
	Backend& backend = *m_backends[drawIndex(m_backends.size())];
	if (backend.limited)
	{
		return;
	}
	backend.limited = true;
	const double limit = kLimits[drawIndex(kLimits.size())];
	backend.worker->setLimit(std::to_string(limit));
	std::size_t number = 0;
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		number = m_seen.serverLimits.size();
		m_seen.serverLimits.push_back({backend.id, limit, monotonicNow(), kNever});
	}
	schedule(drawSpan(6 * kSecond, 12 * kSecond),
			 [this, &backend, number]
			 {
				 {
					 const std::lock_guard<std::mutex> guard(m_mutex);
					 m_seen.serverLimits[number].until = monotonicNow();
				 }
				 backend.worker->setLimit("");
				 backend.limited = false;
			 });
}

void Soak::injectLimitFault()
{
	const std::size_t kind = drawIndex(10);
	kind < 6 ? disturbGateway(kind) : nameLimit();
}

void Soak::makeBrittle()
{
	constexpr std::array kBorneRejections = {3, 5, 10};
	m_brittle = true;
	const int rejections = kBorneRejections[drawIndex(kBorneRejections.size())];
	std::size_t number = 0;
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		number = m_seen.brittleSpans.size();
		m_seen.brittleSpans.push_back({m_backends.size(), monotonicNow(), kNever});
	}
	for (const auto& backend : m_backends)
	{
		backend->worker->setBrittle(rejections, m_seen.bounds.contact);
	}
	schedule(m_seen.bounds.contact,
			 [this]
			 {
				 for (const auto& backend : m_backends)
				 {
					 backend->worker->setRoom(kBrittleSlots);
				 }
			 });
	schedule(m_seen.bounds.contact + drawSpan(4 * kSecond, 8 * kSecond),
			 [this, number]
			 {
				 {
					 const std::lock_guard<std::mutex> guard(m_mutex);
					 m_seen.brittleSpans[number].until = monotonicNow();
				 }
				 for (const auto& backend : m_backends)
				 {
					 backend->worker->setRoom(0);
					 backend->worker->setBrittle(-1);
				 }
				 m_brittle = false;
			 });
}

void Soak::injectBrittleFault()
{
	const std::size_t kind = drawIndex(10);
	kind < 6 ? disturbGateway(kind) : void();
	m_brittle ? void() : makeBrittle();
}

void Soak::injectAnswerFault()
{
	const auto number = static_cast<unsigned>(drawIndex(m_gateways.size()));
	const Gateway& gateway = *m_gateways[number];
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	switch (drawIndex(14))
	{
	case 0:
	case 1:
		isRunning ? stallGateway(number) : void();
		break;
	case 2:
		isRunning ? pauseGateway(number) : void();
		break;
	case 3:
		isRunning ? killGateway(number) : void();
		break;
	case 4:
		isRunning ? stopGateway(number) : void();
		break;
	case 5:
		gateway.storeLinkFaulty ? void() : slowStore(number);
		break;
	case 6:
	case 7:
		announceLeavingInAnswers();
		break;
	default:
		askForBackoff();
		break;
	}
}

} // namespace beacongate::soak
