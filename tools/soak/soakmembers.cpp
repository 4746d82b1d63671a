// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// Faults that change many members of the fleet, while backend servers name limits or are brittle.

#include "daemon/clock.h"
#include "soak/soak_p.h"

namespace beacongate::soak
{
bool Soak::hasServerLimits() const
{
	return m_options.profile == SoakProfile::Limits || m_options.profile == SoakProfile::LimitsMembers;
}

bool Soak::hasBrittleServers() const
{
	return m_options.profile == SoakProfile::Brittle || m_options.profile == SoakProfile::BrittleMembers;
}

void Soak::stopInSeries()
{
	const std::size_t first = drawIndex(m_gateways.size());
	const std::size_t count = 1 + drawIndex(m_gateways.size());
	const Micros interval = drawSpan(50 * kMillisecond, 500 * kMillisecond);
	for (std::size_t place = 0; place < count; ++place)
	{
		const auto number = static_cast<unsigned>((first + place) % m_gateways.size());
		schedule(static_cast<Micros>(place) * interval,
				 [this, number]
				 {
					 const Gateway& gateway = *m_gateways[number];
					 const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
					 isRunning ? stopGateway(number) : void();
				 });
	}
}

void Soak::killHalf()
{
	for (unsigned number = 0; number < m_gateways.size(); ++number)
	{
		const Gateway& gateway = *m_gateways[number];
		const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
		isRunning&& drawIndex(2) == 0 ? killGateway(number) : void();
	}
}

void Soak::injectMemberFault()
{
	const std::size_t kind = drawIndex(14);
	switch (kind)
	{
	case 6:
	case 7:
		stopInSeries();
		break;
	case 8:
		killHalf();
		break;
	case 9:
		// The store works, and no gateway is excused: each has to register again.
		m_store->endLeases();
		break;
	default:
		disturbGateway(kind);
		break;
	}
	if (hasServerLimits())
	{
		kind > 9 ? nameLimit() : void();
		return;
	}
	m_brittle ? void() : makeBrittle();
}

} // namespace beacongate::soak
