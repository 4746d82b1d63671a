// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/startplan.h"

#include <algorithm>
#include <utility>

namespace beacongate
{
namespace
{
/// @returns a delay that is longer for VMs with less CPU time, and differs by up to a factor of two.
Micros firstReadDelay(std::uint32_t _random, unsigned _cpuPercent)
{
	constexpr unsigned kNoDelayPercent = 50;
	constexpr Micros kSteps = 1000;
	const unsigned missing = kNoDelayPercent - std::min(kNoDelayPercent, _cpuPercent);
	const Micros longest = StartPlan::kFirstReadDelay * missing / kNoDelayPercent;
	return longest / 2 + longest / 2 * (static_cast<Micros>(_random) % kSteps) / kSteps;
}
} // namespace

StartPlan::StartPlan(std::string _ownHost, std::uint32_t _random, bool _firstStart, unsigned _cpuPercent)
	: m_ownHost(std::move(_ownHost)), m_random(_random),
	  m_firstReadDelay(_firstStart ? firstReadDelay(_random, _cpuPercent) : 0)
{
}

bool StartPlan::defersFirstRead(Micros _now) const
{
	return m_relays.empty() && m_began != kNever && _now - m_began < m_firstReadDelay;
}

bool StartPlan::mayReadLargeContent(Micros _now)
{
	m_contentIsLarge = true;
	return !defersFirstRead(_now);
}

bool StartPlan::isRelay() const
{
	return std::find(m_relays.begin(), m_relays.end(), m_ownHost) != m_relays.end();
}

bool StartPlan::gaveUp(Micros _now) const
{
	const Micros patience = kPatience + static_cast<Micros>(m_random) % kPatienceSpread;
	return m_began != kNever && _now - m_began > patience;
}

StartStep StartPlan::next(Micros _now)
{
	m_began = std::min(m_began, _now);
	if (gaveUp(_now))
	{
		return {StartAction::ReadStore, {}, 0};
	}
	if (_now - m_relaysReadAt > kRelaysLifetime)
	{
		return {StartAction::ReadRelays, {}, 0};
	}
	if (m_contentIsLarge && defersFirstRead(_now))
	{
		return {StartAction::Wait, {}, kRelaysLifetime};
	}
	if (m_relays.empty() || isRelay())
	{
		return {StartAction::ReadStore, {}, 0};
	}
	if (m_asked == m_relays.size())
	{
		m_asked = 0;
		return {StartAction::Wait, {}, kRetryPause};
	}
	const std::size_t index = (m_random + m_asked) % m_relays.size();
	++m_asked;
	return {StartAction::AskRelay, m_relays[index], 0};
}

void StartPlan::onRelaysRead(std::vector<std::string> _hosts, Micros _now)
{
	m_relaysReadAt = _now;
	if (_hosts != m_relays)
	{
		m_relays = std::move(_hosts);
		m_asked = 0;
	}
}

bool StartPlan::waitsForRelays(Micros _now) const
{
	return !m_relays.empty() && !isRelay() && !gaveUp(_now);
}

} // namespace beacongate
