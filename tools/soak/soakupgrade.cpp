// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

// A rolling upgrade of all gateways, rolled back at some of them, while other faults are injected.

#include "daemon/clock.h"
#include "soak/soak_p.h"

#include <algorithm>
#include <numeric>

namespace beacongate::soak
{
namespace
{
/// Share of the span with faults in which all gateways are upgraded; the rollback takes the rest.
constexpr double kUpgradeShare = 0.6;
constexpr Micros kRetry = 100 * kMillisecond;
constexpr unsigned kRolledBackOneIn = 2;
constexpr unsigned kKilledOneIn = 3;
} // namespace

void Soak::beginUpgrade(Micros _until)
{
	if (m_options.oldProgram.empty())
	{
		return;
	}
	m_upgrade.until = _until;
	m_upgrade.order.resize(m_gateways.size());
	std::iota(m_upgrade.order.begin(), m_upgrade.order.end(), 0u);
	std::shuffle(m_upgrade.order.begin(), m_upgrade.order.end(), m_random);
	const double pause =
		kUpgradeShare * static_cast<double>(m_options.span) / static_cast<double>(m_gateways.size());
	m_upgrade.pause = static_cast<Micros>(pause);
	schedule(m_upgrade.pause, [this] { upgradeNext(); });
}

void Soak::upgradeNext()
{
	if (monotonicNow() >= m_upgrade.until || m_upgrade.next >= 2 * m_upgrade.order.size())
	{
		return;
	}
	const bool rollBack = m_upgrade.next >= m_upgrade.order.size();
	const std::size_t place = m_upgrade.next % m_upgrade.order.size();
	const unsigned number = m_upgrade.order[place];
	Gateway& gateway = *m_gateways[number];
	const bool stays = rollBack && place % kRolledBackOneIn != 0;
	const bool isRunning = !gateway.stopRequested && !gateway.paused && gateway.process->running();
	if (!stays && !isRunning)
	{
		schedule(kRetry, [this] { upgradeNext(); });
		return;
	}
	if (!stays)
	{
		gateway.process->setProgram(rollBack ? m_options.oldProgram : m_options.program);
		drawIndex(kKilledOneIn) == 0 ? killGateway(number) : stopGateway(number);
		++m_upgrade.replaced;
	}
	++m_upgrade.next;
	schedule(stays ? 0 : m_upgrade.pause, [this] { upgradeNext(); });
}

} // namespace beacongate::soak
