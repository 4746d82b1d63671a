// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Spreads the calls by which all gateways of a fleet register again at once.

#ifndef BEACONGATE_COORDINATION_REGISTRATIONSPREAD_H
#define BEACONGATE_COORDINATION_REGISTRATIONSPREAD_H

#include "beacongate/types.h"

#include <cstddef>
#include <random>

namespace beacongate
{
/// Delay after which a gateway registers again when the entries of all gateways may be gone.
struct RegistrationSpread
{
	/// Shortest delay. The store may still be busy with what made the entries vanish.
	static constexpr Micros kMinDelay = 40 * kMillisecond;
	/// Two writing calls of each gateway stay below half of the 400 calls that the store takes in a second.
	static constexpr Micros kSpanPerMember = 10 * kMillisecond;

	/// @param[in] _members Gateways of the fleet.
	template <typename Random> static Micros draw(std::size_t _members, Random& _random)
	{
		const Micros span = static_cast<Micros>(_members) * kSpanPerMember;
		return kMinDelay + std::uniform_int_distribution<Micros>(0, span)(_random);
	}
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_REGISTRATIONSPREAD_H
