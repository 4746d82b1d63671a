// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/storecontact.h"

namespace beacongate
{
void StoreContact::onAsked(Micros _now)
{
	m_waiting.insert(_now);
}

void StoreContact::onHeard(Micros _now)
{
	m_lastHeard = _now;
	m_provenSilent = false;
	m_firstTurnedAway = kLongAgo;
	m_lastTurnedAway = kLongAgo;
}

void StoreContact::onAnswered(Micros _asked, Micros _now)
{
	onHeard(_now);
	onEnded(_asked, _now);
	m_latency = _now - _asked;
}

void StoreContact::onTurnedAway(Micros _asked, Micros _now)
{
	onEnded(_asked, _now);
	m_firstTurnedAway = m_firstTurnedAway == kLongAgo ? _now : m_firstTurnedAway;
	m_lastTurnedAway = _now;
}

void StoreContact::onGivenUp(Micros _asked, Micros _now)
{
	onEnded(_asked, _now);
}

void StoreContact::onHeldUp(Micros _span, Micros _now)
{
	if (!m_waiting.empty())
	{
		m_lastHeard = std::min(_now, silentSince() + _span);
	}
}

void StoreContact::onNotNeeded()
{
	m_provenSilent = false;
	m_firstTurnedAway = kLongAgo;
	m_lastTurnedAway = kLongAgo;
}

void StoreContact::onEnded(Micros _asked, Micros _now)
{
	const auto it = m_waiting.find(_asked);
	if (it != m_waiting.end())
	{
		m_waiting.erase(it);
	}
	m_lastEnded = _now;
}

} // namespace beacongate
