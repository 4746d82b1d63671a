// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "coordination/departurelog.h"

#include <algorithm>
#include <iterator>

namespace beacongate
{
namespace
{
/// @returns the first departure that was found at or after a moment.
template <typename Departures> auto firstSince(const Departures& _departures, Micros _moment)
{
	return std::lower_bound(_departures.begin(), _departures.end(), _moment,
							[](const auto& _departure, Micros _at) { return _departure.at < _at; });
}
} // namespace

void DepartureLog::forgetOld(Departures& _departures, Micros _now)
{
	while (!_departures.empty() && _now - _departures.front().at > kRetention)
	{
		_departures.pop_front();
	}
}

void DepartureLog::add(const BackendIdentity& _backend, bool _listed, Micros _now)
{
	Departures& departures = _listed ? m_listed : m_unlisted;
	forgetOld(departures, _now);
	departures.push_back({_now, _backend});
}

void DepartureLog::forget(const BackendIdentity& _backend)
{
	const auto isSame = [&_backend](const Departure& _departure)
	{
		return _departure.backend == _backend;
	};
	std::erase_if(m_unlisted, isSame);
	std::erase_if(m_listed, isSame);
}

std::vector<BackendIdentity> DepartureLog::since(Micros _moment) const
{
	std::vector<BackendIdentity> backends;
	for (const Departures* departures : {&m_unlisted, &m_listed})
	{
		for (auto departure = firstSince(*departures, _moment); departure != departures->end(); ++departure)
		{
			backends.push_back(departure->backend);
		}
	}
	return backends;
}

void DepartureLog::append(std::vector<BackendIdentity>& _selected, const Departures& _departures, Micros _moment,
						  std::size_t _turn)
{
	const auto first = firstSince(_departures, _moment);
	const auto count = static_cast<std::size_t>(std::distance(first, _departures.end()));
	const std::size_t room = std::min(count, kMaxPerMessage - _selected.size());
	const std::size_t offset = count > room ? _turn * room % count : 0;
	for (std::size_t index = 0; index < room; ++index)
	{
		const auto next = static_cast<std::ptrdiff_t>((offset + index) % count);
		_selected.push_back(std::next(first, next)->backend);
	}
}

std::vector<BackendIdentity> DepartureLog::select(Micros _moment, std::size_t _turn) const
{
	std::vector<BackendIdentity> selected;
	append(selected, m_unlisted, _moment, _turn);
	append(selected, m_listed, _moment, _turn);
	return selected;
}

} // namespace beacongate
