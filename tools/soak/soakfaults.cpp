// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Faults that a soak injects into gateways, the store and backend servers.

#include "daemon/clock.h"
#include "platform/names.h"
#include "soak/soak_p.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace beacongate::soak
{
void Soak::restart(unsigned _number)
{
	m_gateways[_number]->stopRequested = false;
	m_gateways[_number]->paused = false;
	m_gateways[_number]->process->start();
}

void Soak::killGateway(unsigned _number)
{
	Gateway& gateway = *m_gateways[_number];
	const std::size_t disruption = beginDisruption("kill", _number);
	gateway.process->kill();
	gateway.stopRequested = true;
	schedule(drawSpan(200 * kMillisecond, 1500 * kMillisecond),
			 [this, _number, disruption]
			 {
				 restart(_number);
				 endDisruption(disruption);
			 });
}

void Soak::stopGateway(unsigned _number)
{
	Gateway& gateway = *m_gateways[_number];
	gateway.stopRequested = true;
	{
		const std::lock_guard<std::mutex> guard(m_mutex);
		gateway.stop = m_seen.stops.size();
		m_seen.stops.push_back({_number, gateway.process->starts(), monotonicNow(), kNever});
	}
	gateway.process->signal(SIGTERM);
}

void Soak::pauseGateway(unsigned _number)
{
	Gateway& gateway = *m_gateways[_number];
	gateway.paused = true;
	const std::size_t disruption = beginDisruption("pause", _number);
	gateway.process->signal(SIGSTOP);
	schedule(drawSpan(200 * kMillisecond, 4 * kSecond),
			 [this, &gateway, disruption]
			 {
				 gateway.paused = false;
				 gateway.process->signal(SIGCONT);
				 endDisruption(disruption);
			 });
}

void Soak::stallGateway(unsigned _number)
{
	// Healthy VMs may get no processor time for such a span under contention. It therefore is no disruption, and
	// all bounds hold.
	Gateway& gateway = *m_gateways[_number];
	gateway.paused = true;
	gateway.process->signal(SIGSTOP);
	schedule(drawSpan(100 * kMillisecond, 500 * kMillisecond),
			 [&gateway]
			 {
				 gateway.paused = false;
				 gateway.process->signal(SIGCONT);
			 });
}

void Soak::slowStore(unsigned _number)
{
	// Both directions work and the store is healthy, so this is no disruption and all bounds hold. An answer takes
	// 0.4 s to 1.1 s, up to half of the bound on new work for departed servers.
	Gateway& gateway = *m_gateways[_number];
	gateway.storeLinkFaulty = true;
	gateway.storeLink->setFault(LinkFault::Delays, drawSpan(200 * kMillisecond, 550 * kMillisecond));
	schedule(drawSpan(2 * kSecond, 8 * kSecond),
			 [&gateway]
			 {
				 gateway.storeLink->setFault(LinkFault::None);
				 gateway.storeLinkFaulty = false;
			 });
}

void Soak::limitStoreBandwidth()
{
	// A configuration of 160 kB takes half a second, as over a nearly saturated link of 10 Mbit/s.
	constexpr unsigned kMaxExtraRoutes = 600;
	constexpr std::size_t kRate = 320'000;
	m_bandwidthLimited = true;
	m_store->setReadRate(kRate);
	m_extraRoutes = static_cast<unsigned>(drawIndex(kMaxExtraRoutes));
	rotateKey();
	schedule(drawSpan(2 * kSecond, 6 * kSecond),
			 [this]
			 {
				 m_store->setReadRate(0);
				 m_bandwidthLimited = false;
			 });
}

void Soak::cutStore(unsigned _number)
{
	m_gateways[_number]->storeLinkFaulty = true;
	constexpr std::array kFaults = {LinkFault::Delays, LinkFault::Resets, LinkFault::Silent,
									LinkFault::DropsAnswers};
	const std::size_t disruption = beginDisruption("store-link", _number);
	m_gateways[_number]->storeLink->setFault(kFaults[drawIndex(kFaults.size())]);
	schedule(drawSpan(300 * kMillisecond, 6 * kSecond),
			 [this, _number, disruption]
			 {
				 m_gateways[_number]->storeLink->setFault(LinkFault::None);
				 m_gateways[_number]->storeLinkFaulty = false;
				 endDisruption(disruption);
			 });
}

void Soak::failStore()
{
	constexpr std::array kFaults = {standin::StoreFault::Busy, standin::StoreFault::Silent,
									standin::StoreFault::LosesWrites};
	const std::size_t disruption = beginDisruption("store", std::nullopt);
	if (drawIndex(4) == 0)
	{
		m_store->compactHistory();
		endDisruption(disruption);
		return;
	}
	m_store->setFault(kFaults[drawIndex(kFaults.size())]);
	schedule(drawSpan(300 * kMillisecond, 5 * kSecond),
			 [this, disruption]
			 {
				 m_store->setFault(standin::StoreFault::None);
				 endDisruption(disruption);
			 });
}

void Soak::lapseRecords()
{
	const std::size_t disruption = beginDisruption("store-lapse", std::nullopt);
	m_store->setFault(standin::StoreFault::Busy);
	schedule(drawSpan(2 * kSecond, 4 * kSecond),
			 [this, disruption]
			 {
				 for (const auto& backend : m_backends)
				 {
					 m_store->remove(platform::kServersPrefix + backend->id);
				 }
				 m_store->setFault(standin::StoreFault::None);
				 schedule(drawSpan(100 * kMillisecond, 1800 * kMillisecond),
						  [this, disruption]
						  {
							  for (const auto& backend : m_backends)
							  {
								  if (!backend->leaving)
								  {
									  putRecord(*backend, "ready");
								  }
							  }
							  endDisruption(disruption);
						  });
			 });
}

void Soak::failBackend()
{
	constexpr std::array kFaults = {standin::WorkerFault::Rejects,  standin::WorkerFault::Fails,
									standin::WorkerFault::Resets,   standin::WorkerFault::Hangs,
									standin::WorkerFault::WrongId,  standin::WorkerFault::CutsStream,
									standin::WorkerFault::Unframed, standin::WorkerFault::Misdirected};
	Backend& backend = *m_backends[m_backends.size() - 1 - drawIndex(kBackends)];
	const std::size_t disruption = beginDisruption("backend", std::nullopt, true);
	backend.worker->setFault(kFaults[drawIndex(kFaults.size())]);
	schedule(drawSpan(300 * kMillisecond, 3 * kSecond),
			 [this, &backend, disruption]
			 {
				 backend.worker->setFault(standin::WorkerFault::None);
				 endDisruption(disruption);
			 });
}

void Soak::cutBackend()
{
	constexpr std::array kFaults = {LinkFault::Delays, LinkFault::Resets, LinkFault::Silent,
									LinkFault::DropsAnswers};
	Backend& backend = *m_backends[m_backends.size() - 1 - drawIndex(kBackends)];
	const std::size_t disruption = beginDisruption("backend-link", std::nullopt, true);
	backend.link->setFault(kFaults[drawIndex(kFaults.size())]);
	schedule(drawSpan(300 * kMillisecond, 3 * kSecond),
			 [this, &backend, disruption]
			 {
				 backend.link->setFault(LinkFault::None);
				 endDisruption(disruption);
			 });
}

void Soak::leaveBackend()
{
	addBackend();
	const auto staying = [](const std::unique_ptr<Backend>& _backend)
	{
		return !_backend->leaving;
	};
	Backend& backend = **std::find_if(m_backends.begin(), m_backends.end(), staying);
	backend.leaving = true;
	if (drawIndex(3) == 0)
	{
		m_store->remove(platform::kServersPrefix + backend.id);
	}
	else
	{
		putRecord(backend, "draining");
	}
	const std::lock_guard<std::mutex> guard(m_mutex);
	m_seen.departures.push_back({backend.id, monotonicNow()});
}

void Soak::injectFault()
{
	const auto number = static_cast<unsigned>(drawIndex(m_gateways.size()));
	Gateway& gateway = *m_gateways[number];
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	switch (drawIndex(12))
	{
	case 0:
		isRunning ? killGateway(number) : void();
		break;
	case 1:
	case 2:
		isRunning ? stopGateway(number) : void();
		break;
	case 3:
		isRunning ? pauseGateway(number) : void();
		break;
	case 4:
		cutStore(number);
		break;
	case 5:
		drawIndex(2) == 0 ? failStore() : lapseRecords();
		break;
	case 6:
		failBackend();
		break;
	case 7:
		cutBackend();
		break;
	case 8:
		leaveBackend();
		break;
	case 9:
		gateway.process->signal(SIGHUP);
		break;
	default:
		rotateKey();
		break;
	}
}

void Soak::injectDeparture()
{
	const auto number = static_cast<unsigned>(drawIndex(m_gateways.size()));
	const Gateway& gateway = *m_gateways[number];
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	switch (drawIndex(16))
	{
	case 0:
		gateway.storeLinkFaulty ? void() : injectFault();
		break;
	case 1:
	case 2:
	case 3:
		isRunning ? stallGateway(number) : void();
		break;
	case 4:
	case 5:
	case 6:
	case 7:
		gateway.storeLinkFaulty ? void() : slowStore(number);
		break;
	case 8:
		m_options.profile == SoakProfile::NarrowDepartures && !m_bandwidthLimited ? limitStoreBandwidth()
																				  : rotateKey();
		break;
	default:
		leaveBackend();
		break;
	}
}

} // namespace beacongate::soak
