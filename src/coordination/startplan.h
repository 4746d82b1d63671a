// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides from where a gateway that has just started takes the store's content.

#ifndef BEACONGATE_COORDINATION_STARTPLAN_H
#define BEACONGATE_COORDINATION_STARTPLAN_H

#include "beacongate/types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace beacongate
{
/// What a gateway without content does next.
enum class StartAction : std::uint8_t
{
	ReadRelays, ///< Read which gateways of the data centre are named as relays.
	AskRelay,   ///< Ask a relay for the content.
	ReadStore,  ///< Read the whole content from the store.
	Wait,
};

/// One step of a start.
struct StartStep
{
	StartAction action = StartAction::ReadStore;
	std::string relay; ///< AskRelay only: host of the relay.
	Micros pause = 0;  ///< Wait only.
};

/// The steps by which a gateway gets its first content.
/// @remarks If all gateways of a large fleet start at once and each reads the whole content, the bytes grow with
/// the product of gateways and backend servers: 986 gateways that read 1.8 MB each occupy a link of 1,000 Mbit/s
/// for 14 s. A large fleet therefore names a few relays of each data centre in the store, see RelaySlots. Only
/// these read the whole content, and the others take it from them. A fleet that names none is small, and each of
/// its gateways reads the content itself.
class StartPlan
{
public:
	/// Time after which a gateway that got nothing from the relays reads the store itself.
	static constexpr Micros kPatience = 3 * kSecond;
	/// Largest random time on top, so that gateways whose relays have all ended do not read at the same moment.
	static constexpr Micros kPatienceSpread = 3 * kSecond;
	/// Pause after all relays were asked in vain: they may have started at the same time and be reading.
	static constexpr Micros kRetryPause = 150 * kMillisecond;
	/// Time after which the names of the relays are read again, since others may have replaced them.
	static constexpr Micros kRelaysLifetime = 1 * kSecond;

	/// Longest time for which a gateway waits at the first start of the system, when no relay is named yet, before
	/// it reads a large content itself. VMs with half a core or more read at once. They enter themselves as relays
	/// once they know the other members, up to 2.5 s later.
	static constexpr Micros kFirstReadDelay = 8 * kSecond;

	/// @param[in] _ownHost Host of this gateway.
	/// @param[in] _random Random number: gateways start with different relays.
	/// @param[in] _firstStart The whole system starts for the first time.
	/// @param[in] _cpuPercent CPU share of the VM in percent of a core; 0 if it is unknown.
	StartPlan(std::string _ownHost, std::uint32_t _random, bool _firstStart = false, unsigned _cpuPercent = 0);

	/// @returns the next step.
	StartStep next(Micros _now);

	/// Notes which relays the store names for the data centre; none if the fleet is small.
	void onRelaysRead(std::vector<std::string> _hosts, Micros _now);

	/// Decides whether to go on with a read of the store that has more than one page.
	/// @returns false at the first start of the system while relays may still be named.
	bool mayReadLargeContent(Micros _now);

	/// @returns true if relays are known and this gateway waits for them, so that it asks no other gateway.
	bool waitsForRelays(Micros _now) const;

private:
	bool isRelay() const;
	bool gaveUp(Micros _now) const;
	bool defersFirstRead(Micros _now) const;

	std::string m_ownHost;
	std::uint32_t m_random;
	Micros m_firstReadDelay;
	bool m_contentIsLarge = false;
	Micros m_began = kNever;
	Micros m_relaysReadAt = kLongAgo;
	std::vector<std::string> m_relays;
	std::size_t m_asked = 0; ///< Relays asked since the last pause.
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_STARTPLAN_H
