// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/requestpace.h"

#include <cmath>

namespace beacongate
{
double RequestPace::levelAt(Micros _now) const
{
	const double burst = std::max(1.0, m_rate * secondsOf(kBurstSpan));
	const Micros elapsed = std::max<Micros>(0, _now - m_updated);
	return std::min(burst, m_level + m_rate * secondsOf(elapsed));
}

void RequestPace::setRate(double _rate, Micros _now)
{
	m_level = levelAt(_now);
	m_updated = _now;
	m_rate = std::max(_rate, kMinRate);
}

void RequestPace::onSent(Micros _now)
{
	const double maxDebt = std::max(1.0, m_rate * secondsOf(kMaxDebtSpan));
	m_level = std::max(-maxDebt, levelAt(_now) - 1.0);
	m_updated = _now;
}

void RequestPace::onReturned(Micros _now)
{
	m_level = levelAt(_now) + 1.0;
	m_updated = _now;
}

Micros RequestPace::waitFor(std::size_t _requests, Micros _now) const
{
	// Sums of fractions may miss the whole number by a rounding error.
	constexpr double kRounding = 1e-6;
	const double missing = static_cast<double>(_requests) - kRounding - levelAt(_now);
	return missing <= 0.0 ? 0 : static_cast<Micros>(std::ceil(missing / m_rate * static_cast<double>(kSecond)));
}

} // namespace beacongate
