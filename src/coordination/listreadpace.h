// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides when the list of backend servers is read again while earlier reads of it still wait.

#ifndef BEACONGATE_COORDINATION_LISTREADPACE_H
#define BEACONGATE_COORDINATION_LISTREADPACE_H

#include "beacongate/types.h"
#include "coordination/drainbudget.h"

namespace beacongate
{
/// Paces the reads of the list. A store that answers slowly is read every kListReadInterval, so that the next
/// list arrives before the last one is too old. A store that has not answered yet may be down, for all gateways
/// at once: it is read again after a quarter of the bound on departures and then after twice as long each time,
/// which still keeps the list recent enough if answers take half of the bound. With a read every 0.25 s instead,
/// 295 gateways made 3,600 more calls in two outages.
class ListReadPace
{
public:
	explicit ListReadPace(const DrainBudget& _budget) : m_firstPause(_budget.secondReadDelay)
	{
	}

	/// @returns true if a read is due, provided that the list is needed.
	bool due(Micros _now) const
	{
		return _now - m_lastStarted >= m_pause;
	}

	/// Notes that a read was started.
	void onReadStarted(Micros _now)
	{
		m_lastStarted = _now;
		m_pause = m_silent ? 2 * m_pause : m_firstPause;
		m_silent = true;
	}

	/// Notes that the store responded to a read, even if it rejected it, or that the list is not needed any
	/// more.
	void onAnswered()
	{
		m_silent = false;
		m_pause = kListReadInterval;
	}

private:
	Micros m_firstPause;
	Micros m_pause = kListReadInterval;
	Micros m_lastStarted = kLongAgo;
	bool m_silent = false; ///< Nothing was received since a read was started.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_LISTREADPACE_H
