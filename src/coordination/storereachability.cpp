// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/storereachability.h"

namespace beacongate
{
void StoreReachability::onReadSent(Micros _now)
{
	m_waiting.insert(_now);
}

void StoreReachability::onBytesReceived(Micros _now)
{
	m_lastReceived = _now;
	m_timedOut = false;
	m_firstRejection = kLongAgo;
	m_lastRejection = kLongAgo;
}

void StoreReachability::onAnswered(Micros _asked, Micros _now)
{
	onBytesReceived(_now);
	onEnded(_asked, _now);
	m_latency = _now - _asked;
}

void StoreReachability::onReadRejected(Micros _asked, Micros _now)
{
	onEnded(_asked, _now);
	m_firstRejection = m_firstRejection == kLongAgo ? _now : m_firstRejection;
	m_lastRejection = _now;
}

void StoreReachability::onReadAbandoned(Micros _asked, Micros _now)
{
	onEnded(_asked, _now);
}

void StoreReachability::onProcessStalled(Micros _span, Micros _now)
{
	if (!m_waiting.empty())
	{
		m_lastReceived = std::min(_now, silentSince() + _span);
	}
}

void StoreReachability::resetFindings()
{
	m_timedOut = false;
	m_firstRejection = kLongAgo;
	m_lastRejection = kLongAgo;
}

void StoreReachability::onEnded(Micros _asked, Micros _now)
{
	const auto it = m_waiting.find(_asked);
	if (it != m_waiting.end())
	{
		m_waiting.erase(it);
	}
	m_lastEnded = _now;
}

} // namespace beacongate
