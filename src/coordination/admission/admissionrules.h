// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Decides which services are under admission, and what happens to a request that no backend server may take yet.
///
/// An engine reads prompts one after the other, and its slots are rarely all taken. If a burst of prompts is sent
/// to engines that cannot read them in time, all of them are late. So a service under admission gives each engine
/// only as many prompts at once as it reads within the target, and refuses other requests while their callers have
/// time to retry.

#ifndef BEACONGATE_COORDINATION_ADMISSION_ADMISSIONRULES_H
#define BEACONGATE_COORDINATION_ADMISSION_ADMISSIONRULES_H

#include "beacongate/routing.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>

namespace beacongate
{
/// The services that are under admission, by one configuration.
class AdmissionRules
{
public:
	/// A service is under admission if all of its most urgent streaming routes give callers less than this many
	/// times its target: such callers cannot wait for the end of a burst, so that a request that is sent too late
	/// is lost.
	static constexpr Micros kMaxDeadlineFactor = 10;

	/// Reads the routes of a configuration; nothing happens if it was read before.
	void configure(const RoutingConfigPtr& _config);

	/// @returns the smallest target latency of the streaming routes of a service; nothing if it is not under
	/// admission.
	std::optional<Micros> targetOf(const std::string& _service) const;

private:
	RoutingConfigPtr m_config; ///< The configuration that was read.
	std::map<std::string, Micros> m_targets;
};

/// A request for which no backend server may be used yet. Times are of the steady clock.
struct HeldRequest
{
	Micros now = 0;
	Micros received = 0;
	Micros target = 0; ///< Target latency of its route.
	/// It was sent before, or continues a stream: refusing it would lose work that was done.
	bool begun = false;
};

/// A held request is refused after this part of its target. A caller loses little by so short a wait, and has most
/// of its time left for a retry.
inline constexpr Micros kHeldPart = 8;
/// Longest interval between two decisions on a held request, see Dispatcher. A request that is held until the last
/// of its time would be refused up to this much later.
inline constexpr Micros kHeldInterval = 10 * kMillisecond;

/// @returns the time for which a request may still be held, so that it is refused within its time when it is next
/// decided on.
inline Micros holdLeft(const HeldRequest& _request)
{
	const Micros most = _request.target / kHeldPart;
	const Micros until = _request.received + std::max(most / 2, most - kHeldInterval);
	return _request.begun ? kNever : std::max<Micros>(0, until - _request.now);
}

/// @returns true if a request for which no backend server may be used yet is refused now.
/// @param[in] _asked A home was asked for a slot and has not answered. The answer takes a round trip, or up to
/// SlotPermits::kAnswerTimeout for each home that does not answer; capacity may be free, so it is awaited.
inline bool mustRefuse(const HeldRequest& _request, bool _asked)
{
	return !_asked && holdLeft(_request) <= 0;
}

/// @returns true if the caller of a request came back after a refusal, or is in a hurry: it has clearly less time
/// left than the route gives.
/// @param[in] _deadline Time that the caller has left when the request arrives; nothing if it does not say.
/// @param[in] _timeout Time that the route gives to a request.
inline bool isReturning(std::optional<Micros> _deadline, Micros _timeout)
{
	constexpr Micros kReturningPercent = 95;
	return _deadline && *_deadline * 100 < _timeout * kReturningPercent;
}

/// Share of the requests that are ranked like those of the most urgent priority, whatever their own is. In a
/// lasting shortage, strict priorities would leave nothing to the least urgent requests.
inline constexpr double kRaisedShare = 0.25;

/// @returns the rank of a request among those that wait for the same backend server; the smallest goes first.
/// Requests of the same priority go in order of their arrival, but those of returning callers go first, since a
/// second refusal costs a caller more than the first one.
/// @param[in] _draw Random number from 0 to 1 that is drawn once for each request.
inline unsigned queueRank(unsigned _priority, bool _returning, double _draw)
{
	const unsigned priority = _draw < kRaisedShare ? 0 : _priority;
	return 2 * priority + (_returning ? 0 : 1);
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ADMISSION_ADMISSIONRULES_H
