// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Whether this gateway may act as the one holder of the duties towards the platform.

#ifndef BEACONGATE_COORDINATION_DUTYLEASE_H
#define BEACONGATE_COORDINATION_DUTYLEASE_H

#include "beacongate/types.h"

#include <cstdint>

namespace beacongate
{
/// A lease as its holder has to see it: counted from when the call that got it was sent.
class DutyLease
{
public:
	/// A call has to leave this long before the lease can end, so that it arrives in time.
	static constexpr Micros kMargin = 700 * kMillisecond;

	/// The lease was taken.
	/// @param[in] sent When the call that opened or renewed the lease was sent.
	void onAcquired(std::uint64_t _fence, Micros _sent, Micros _span)
	{
		m_fence = _fence;
		m_validUntil = _sent + _span;
		m_held = true;
	}

	/// The lease was renewed.
	void onRenewed(Micros _sent, Micros _span)
	{
		if (m_held && _sent + _span > m_validUntil)
		{
			m_validUntil = _sent + _span;
		}
	}

	/// The lease is over, or may be.
	void onLost()
	{
		m_held = false;
	}

	/// @returns whether an order may leave now.
	bool mayAct(Micros _now) const
	{
		return m_held && _now + kMargin < m_validUntil;
	}

	/// @returns whether the lease was taken and has not ended for sure.
	bool held(Micros _now) const
	{
		return m_held && _now < m_validUntil;
	}

	/// @returns the fencing token: larger than that of each holder before.
	std::uint64_t fence() const
	{
		return m_fence;
	}

private:
	std::uint64_t m_fence = 0;
	Micros m_validUntil = 0;
	bool m_held = false;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_DUTYLEASE_H
