// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/streamlengths.h"

#include <cmath>

namespace beacongate
{
namespace
{
/// Steps of the logarithm of the event interval for each stream. Their ratio makes it converge to the quantile
/// of one in eleven.
constexpr double kStepDown = 0.05;
constexpr double kStepUp = 0.005;
constexpr double kMeanWeight = 0.05; ///< Weight of a new stream in the mean, which covers about twenty streams.
} // namespace

void StreamLengths::onStream(const std::string& _service, const std::string& _route, unsigned _events, Micros _span)
{
	const auto route = m_events.find(_route);
	if (route != m_events.end())
	{
		route->second += kMeanWeight * (_events - route->second);
	}
	else if (m_events.size() < kMaxRoutes)
	{
		m_events[_route] = _events;
	}
	if (_events < kMinEvents || _span <= 0)
	{
		return;
	}
	const double eventInterval = secondsOf(_span) / (_events - 1);
	const auto known = m_eventIntervals.try_emplace(_service, eventInterval).first;
	known->second *= std::exp(eventInterval < known->second ? -kStepDown : kStepUp);
}

double StreamLengths::holdSeconds(const std::string& _service, const std::string& _route) const
{
	const auto eventInterval = m_eventIntervals.find(_service);
	const auto events = m_events.find(_route);
	const bool known = eventInterval != m_eventIntervals.end() && events != m_events.end();
	return known ? eventInterval->second * events->second : 0.0;
}

} // namespace beacongate
