// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Remembers which parts of prompts backend servers have answered lately.

#ifndef BEACONGATE_COORDINATION_SOUNDPARTS_H
#define BEACONGATE_COORDINATION_SOUNDPARTS_H

#include "beacongate/types.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>

namespace beacongate
{
/// Bounded memory of the parts of answered requests. A part that crashes its servers is never answered, whatever
/// else the request holds, so an answer to any team's request speaks for the part.
class SoundParts
{
public:
	/// Time for which an answer speaks for a part.
	static constexpr Micros kSpan = 10 * kSecond;
	/// Parts in each of two generations, which bounds the memory to some 400 KB.
	static constexpr std::size_t kMaxParts = 4096;

	/// Notes that a request with a part was answered.
	void note(std::uint64_t _part, Micros _now)
	{
		if (m_current.size() >= kMaxParts)
		{
			m_previous = std::exchange(m_current, {});
		}
		m_current[_part] = _now;
	}

	/// @returns true if a request with a part was answered within kSpan.
	bool isSound(std::uint64_t _part, Micros _now) const
	{
		return isRecent(m_current, _part, _now) || isRecent(m_previous, _part, _now);
	}

private:
	using Generation = std::unordered_map<std::uint64_t, Micros>;

	static bool isRecent(const Generation& _generation, std::uint64_t _part, Micros _now)
	{
		const auto found = _generation.find(_part);
		return found != _generation.end() && _now - found->second <= kSpan;
	}

	Generation m_current;
	Generation m_previous;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SOUNDPARTS_H
