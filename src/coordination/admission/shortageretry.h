// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Works out when the caller of a request that was refused for want of capacity may retry.

#ifndef BEACONGATE_COORDINATION_ADMISSION_SHORTAGERETRY_H
#define BEACONGATE_COORDINATION_ADMISSION_SHORTAGERETRY_H

#include "beacongate/types.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>

namespace beacongate
{
/// Measures which share of the requests for each service a gateway has recently refused for want of capacity.
class ShortageMeter
{
public:
	/// Time constant of the average: a burst lasts some seconds.
	static constexpr double kAveragingSeconds = 1.0;
	/// Requests that are assumed to have been sent besides, so that one refusal after a quiet time is not taken for
	/// a long shortage.
	static constexpr double kPriorSent = 1.0;

	/// Notes the decision on a request.
	void onDecided(const std::string& _service, bool _refused, Micros _now)
	{
		Service& service = m_services[_service];
		const double elapsed = secondsOf(std::max<Micros>(0, _now - service.updated));
		const double kept = std::exp(-elapsed / kAveragingSeconds);
		service.sent = service.sent * kept + (_refused ? 0.0 : 1.0);
		service.refused = service.refused * kept + (_refused ? 1.0 : 0.0);
		service.updated = _now;
	}

	/// @returns the share of requests that were refused, from 0 to 1.
	double refusedShare(const std::string& _service) const
	{
		const auto it = m_services.find(_service);
		return it == m_services.end() ? 0.0
									  : it->second.refused / (it->second.refused + it->second.sent + kPriorSent);
	}

private:
	struct Service
	{
		double sent = 0.0;
		double refused = 0.0;
		Micros updated = 0;
	};

	std::map<std::string, Service> m_services;
};

/// Shortest delay: capacity may become free at any moment.
inline constexpr Micros kMinShortageRetry = 100 * kMillisecond;
/// Callers wait for a third of the time that they have left at the most, whatever they are told.
inline constexpr Micros kMaxShortageRetryShare = 3;

/// @returns the delay after which the caller of a refused request may retry.
/// @param[in] _refusedShare Share of recent requests that were refused. The larger it is, the longer the shortage
/// will last, and the more of the time that the caller can wait is used.
/// @param[in] _timeLeft Time until the caller's deadline.
/// @param[in] _spread Random number from 0 to 1, so that callers that were refused together do not return together.
inline Micros retryAfterShortage(double _refusedShare, Micros _timeLeft, double _spread)
{
	constexpr double kMinSpread = 0.6;
	const Micros most = std::max(kMinShortageRetry, _timeLeft / kMaxShortageRetryShare);
	const double share =
		std::clamp(_refusedShare, 0.0, 1.0) * (kMinSpread + (1.0 - kMinSpread) * std::clamp(_spread, 0.0, 1.0));
	return std::clamp(static_cast<Micros>(share * static_cast<double>(most)), kMinShortageRetry, most);
}

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_ADMISSION_SHORTAGERETRY_H
