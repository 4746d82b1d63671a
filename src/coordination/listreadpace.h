// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// When the list of backend servers is asked for again while earlier reads of it still wait.

#ifndef BEACONGATE_COORDINATION_LISTREADPACE_H
#define BEACONGATE_COORDINATION_LISTREADPACE_H

#include "beacongate/types.h"
#include "coordination/drainbudget.h"

namespace beacongate
{
/// A store that answers slowly, but does, is asked every kListReadInterval, so that the next list comes before the
/// last one is too old. One that has said nothing yet may be down, for all gateways at once: it is asked after a
/// quarter of the bound on departures and then after twice as long each time, which still keeps the list young
/// enough with answers that take half of the bound. Asked every 0.25 s instead, 295 gateways made 3,600 calls more
/// in two outages.
class ListReadPace
{
public:
	explicit ListReadPace(const DrainBudget& _budget) : m_firstPause(_budget.secondReadDelay)
	{
	}

	/// @returns whether a read is due, if the list is needed.
	bool due(Micros _now) const
	{
		return _now - m_lastBegun >= m_pause;
	}

	/// A read was begun.
	void onReadStarted(Micros _now)
	{
		m_lastBegun = _now;
		m_pause = m_silent ? 2 * m_pause : m_firstPause;
		m_silent = true;
	}

	/// The store said something to a read, be it that it takes none, or the list is not needed any more.
	void onAnswered()
	{
		m_silent = false;
		m_pause = kListReadInterval;
	}

private:
	Micros m_firstPause;
	Micros m_pause = kListReadInterval;
	Micros m_lastBegun = kLongAgo;
	bool m_silent = false; ///< Nothing was said since a read was begun.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_LISTREADPACE_H
