// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// Paces the requests of all gateways to a backend server that names a limit.

#ifndef BEACONGATE_COORDINATION_REQUESTPACE_H
#define BEACONGATE_COORDINATION_REQUESTPACE_H

#include "beacongate/types.h"

#include <algorithm>
#include <cstddef>

namespace beacongate
{
/// A token bucket with one token for each request. It may be in debt, since requests are also sent without this
/// gateway's grant. It starts with one: what was sent before is not known, and may have used the limit up.
class RequestPace
{
public:
	/// Lowest rate applied, in requests a second. A server that names 0 is asked again at this rate, since only its
	/// answers tell that the limit has ended.
	static constexpr double kMinRate = 0.1;
	/// Largest burst, as the time in which the limit allows as many requests; at least one request.
	static constexpr Micros kBurstSpan = 500 * kMillisecond;
	/// Largest debt, as the time in which the limit allows as many requests; at least one request.
	static constexpr Micros kMaxDebtSpan = 2 * kSecond;

	/// @param[in] _rate Requests a second.
	RequestPace(double _rate, Micros _now) : m_rate(std::max(_rate, kMinRate)), m_updated(_now)
	{
	}

	/// Changes the rate; what was sent before is kept.
	/// @param[in] _rate Requests a second.
	void setRate(double _rate, Micros _now);

	/// @returns the rate in requests a second.
	double rate() const
	{
		return m_rate;
	}

	/// Notes that a request is sent, with or without a grant.
	void onSent(Micros _now);

	/// Notes that a granted request is not sent.
	void onReturned(Micros _now);

	/// @returns the time until as many requests may be sent; 0 if they may be sent now.
	Micros waitFor(std::size_t _requests, Micros _now) const;

private:
	double levelAt(Micros _now) const;

	double m_rate;
	double m_level = 1.0; ///< Requests that could be sent at once at m_updated; less than 0 for a debt.
	Micros m_updated;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_REQUESTPACE_H
