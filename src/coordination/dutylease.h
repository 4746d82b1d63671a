// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides whether this gateway may act as the duty holder towards the platform.

#ifndef BEACONGATE_COORDINATION_DUTYLEASE_H
#define BEACONGATE_COORDINATION_DUTYLEASE_H

#include "beacongate/types.h"

#include <cstdint>

namespace beacongate
{
/// The duty lease as its holder has to count it: from when the call that acquired or renewed it was sent.
class DutyLease
{
public:
	/// A call is sent only if the lease lasts for at least this long, so that it arrives before the lease can
	/// end.
	static constexpr Micros kMargin = 700 * kMillisecond;

	/// Notes that the lease was acquired.
	/// @param[in] _fence Fencing token of the lease.
	/// @param[in] _sent When the call that acquired or renewed the lease was sent.
	/// @param[in] _span Duration of the lease.
	void onAcquired(std::uint64_t _fence, Micros _sent, Micros _span)
	{
		m_fence = _fence;
		m_validUntil = _sent + _span;
		m_held = true;
	}

	/// Notes that the lease was renewed.
	void onRenewed(Micros _sent, Micros _span)
	{
		if (m_held && _sent + _span > m_validUntil)
		{
			m_validUntil = _sent + _span;
		}
	}

	/// Notes that the lease ended, or may have ended.
	void onLost()
	{
		m_held = false;
	}

	/// @returns true if an order may be sent now.
	bool mayAct(Micros _now) const
	{
		return m_held && _now + kMargin < m_validUntil;
	}

	/// @returns true if the lease was acquired and has not certainly ended.
	bool held(Micros _now) const
	{
		return m_held && _now < m_validUntil;
	}

	/// @returns the fencing token; it is larger than that of each earlier holder.
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
