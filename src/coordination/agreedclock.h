// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Wall clock time from the steady clock and an offset that most gateways agree on, since a single gateway's wall
/// clock can step.

#ifndef BEACONGATE_COORDINATION_AGREEDCLOCK_H
#define BEACONGATE_COORDINATION_AGREEDCLOCK_H

#include "beacongate/types.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Estimates the offset between this process's steady clock and true time as the median over the gateways' wall
/// clocks.
class AgreedClock
{
public:
	/// Time for which a reading of a peer's wall clock is used.
	static constexpr Micros kSampleLifetime = 2 * kSecond;
	/// Number of clocks that make an offset agreed. With fewer, an offset that was agreed before is kept.
	static constexpr std::size_t kQuorum = 3;

	/// Records a reading of a peer's wall clock.
	void onSample(const std::string& _peer, Micros _wallClock, Micros _now)
	{
		m_samples[_peer] = {_wallClock - _now, _now};
	}

	/// Recalculates the offset.
	/// @param[in] _ownWallClock Wall clock of this process.
	void update(Micros _ownWallClock, Micros _now)
	{
		std::vector<Micros> offsets{_ownWallClock - _now};
		for (const auto& [peer, sample] : m_samples)
		{
			if (_now - sample.takenAt <= kSampleLifetime)
			{
				offsets.push_back(sample.offset);
			}
		}
		if (m_agreed && offsets.size() < kQuorum)
		{
			return;
		}
		const auto median = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
		std::nth_element(offsets.begin(), median, offsets.end());
		m_offset = *median;
		m_agreed = offsets.size() >= kQuorum;
	}

	/// @returns true time since the start of 1970.
	Micros trueTime(Micros _now) const
	{
		return _now + m_offset;
	}

private:
	struct Sample
	{
		Micros offset = 0;
		Micros takenAt = 0;
	};

	std::map<std::string, Sample> m_samples;
	Micros m_offset = 0;
	bool m_agreed = false;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_AGREEDCLOCK_H
