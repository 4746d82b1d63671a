// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// True time from the steady clock and an offset that most gateways agree on, since single wall clocks step.

#ifndef BEACONGATE_COORDINATION_AGREEDCLOCK_H
#define BEACONGATE_COORDINATION_AGREEDCLOCK_H

#include "beacongate/types.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace beacongate
{
/// Keeps the offset between this process's steady time and true time.
class AgreedClock
{
public:
	/// What a peer's clock said is used for this long.
	static constexpr Micros kSampleLife = 2 * kSecond;
	/// Below this many clocks, an offset that was agreed before is kept.
	static constexpr std::size_t kQuorum = 3;

	/// A peer's wall clock was read.
	void onSample(const std::string& _peer, Micros _wallClock, Micros _now)
	{
		m_samples[_peer] = {_wallClock - _now, _now};
	}

	/// Works the offset out again.
	/// @param[in] ownWallClock This process's wall clock.
	void update(Micros _ownWallClock, Micros _now)
	{
		std::vector<Micros> offsets{_ownWallClock - _now};
		for (const auto& [peer, sample] : m_samples)
		{
			if (_now - sample.taken <= kSampleLife)
			{
				offsets.push_back(sample.offset);
			}
		}
		if (m_agreed && offsets.size() < kQuorum)
		{
			return;
		}
		const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
		std::nth_element(offsets.begin(), middle, offsets.end());
		m_offset = *middle;
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
		Micros taken = 0;
	};

	std::map<std::string, Sample> m_samples;
	Micros m_offset = 0;
	bool m_agreed = false;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_AGREEDCLOCK_H
