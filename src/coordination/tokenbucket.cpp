// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/tokenbucket.h"

#include <algorithm>
#include <iterator>

namespace beacongate
{
namespace
{
/// Usage within this span is merged into one entry, so a bucket has at most kHistory / kMergeSpan entries.
constexpr Micros kMergeSpan = 20 * kMillisecond;
/// Distance between the entries that spread usage is divided into.
constexpr Micros kSpreadStep = 100 * kMillisecond;

/// @returns the weight of usage at an age.
double weightAt(Micros _age)
{
	const double decaySeconds = secondsOf(TokenBucket::kHistory - TokenBucket::kFullWeight);
	return std::clamp(secondsOf(TokenBucket::kHistory - _age) / decaySeconds, 0.0, 1.0);
}

/// @returns the seconds of a span that ends now, weighted like the usage in it.
double weightedSeconds(Micros _span)
{
	const double full = secondsOf(std::min(_span, TokenBucket::kFullWeight));
	const double rest = secondsOf(std::max<Micros>(0, _span - TokenBucket::kFullWeight));
	return full + rest * (1.0 + weightAt(_span)) / 2.0;
}
} // namespace

void TokenBucket::setLimits(double _rate, double _burst)
{
	const double window = secondsOf(kHistory);
	const double before = m_rate * window + m_burst;
	const double after = _rate * window + _burst;
	if (limited() && after < before)
	{
		for (Interval& interval : m_intervals)
		{
			interval.amount *= after / before;
		}
	}
	m_rate = _rate;
	m_burst = _burst;
}

double TokenBucket::level(Micros _now, double _share) const
{
	const double burst = m_burst * _share;
	double level = burst;
	double taken = 0.0;
	for (auto it = m_intervals.rbegin(); it != m_intervals.rend() && _now - it->since <= kHistory; ++it)
	{
		taken += it->amount * weightAt(_now - it->since);
		level = std::min(level, burst + m_rate * _share * weightedSeconds(_now - it->since) - taken);
	}
	return level;
}

double TokenBucket::takenSince(Micros _moment) const
{
	double taken = 0.0;
	for (auto it = m_intervals.rbegin(); it != m_intervals.rend() && it->since >= _moment; ++it)
	{
		taken += it->amount;
	}
	return taken;
}

void TokenBucket::forgetOld(Micros _now)
{
	while (!m_intervals.empty() && _now - m_intervals.front().since > kHistory)
	{
		m_intervals.pop_front();
	}
}

void TokenBucket::add(double _amount, Micros _at)
{
	const auto later = [](Micros _moment, const Interval& _interval)
	{
		return _moment < _interval.since;
	};
	auto next = std::upper_bound(m_intervals.begin(), m_intervals.end(), _at, later);
	const bool merges = next != m_intervals.begin() && _at - std::prev(next)->since <= kMergeSpan;
	if (merges)
	{
		std::prev(next)->amount += _amount;
		return;
	}
	m_intervals.insert(next, {_at, _amount});
}

void TokenBucket::record(double _amount, Micros _now)
{
	forgetOld(_now);
	add(_amount, _now);
}

void TokenBucket::setLevel(double _level, Micros _now)
{
	m_intervals.clear();
	record(m_burst - std::min(_level, m_burst), _now);
}

void TokenBucket::recordSpread(double _amount, Micros _since, Micros _now)
{
	forgetOld(_now);
	const Micros span = std::clamp<Micros>(_now - _since, 0, kHistory);
	const Micros steps = span / kSpreadStep + 1;
	for (Micros step = 0; step < steps; ++step)
	{
		add(_amount / static_cast<double>(steps), _now - step * kSpreadStep);
	}
}
} // namespace beacongate
