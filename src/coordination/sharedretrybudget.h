// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// This gateway's part of a retry budget that all gateways share.

#ifndef BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H
#define BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H

#include "beacongate/types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace beacongate
{
/// What all gateways together may repeat at one service.
struct RetryBudgetSettings
{
	double ratio = 0.2;  ///< Repeats for each request.
	double slack = 50.0; ///< Repeats beyond that in one window, over all gateways.
	Micros window = 10 * kSecond;
};

/// Counts by service. The ratio is spent on this gateway's own requests, the slack in equal parts.
class SharedRetryBudget
{
public:
	/// Part of the whole that is ever used, since windows slide and gateways restart.
	static constexpr double kUsedPart = 0.6;

	void configure(const RetryBudgetSettings& settings)
	{
		m_settings = settings;
	}

	/// Names the gateways there are, this one included.
	void setMembers(std::size_t members)
	{
		m_members = members == 0 ? 1 : members;
	}

	/// Counts a request that is sent for the first time.
	void onRequest(const std::string& service, Micros now)
	{
		m_services[service].requests.push_back(now);
	}

	/// @returns whether a repeat may be sent now.
	bool allows(const std::string& service, Micros now)
	{
		Counts& counts = m_services[service];
		forget(counts.requests, now);
		forget(counts.repeats, now);
		const double share = m_settings.slack / static_cast<double>(m_members);
		const double room = m_settings.ratio * static_cast<double>(counts.requests.size()) + share;
		return static_cast<double>(counts.repeats.size()) + 1.0 <= kUsedPart * room;
	}

	/// Counts a repeat that is sent.
	void onRepeat(const std::string& service, Micros now)
	{
		m_services[service].repeats.push_back(now);
	}

private:
	struct Counts
	{
		std::deque<Micros> requests;
		std::deque<Micros> repeats;
	};

	void forget(std::deque<Micros>& times, Micros now) const
	{
		while (!times.empty() && now - times.front() > m_settings.window)
		{
			times.pop_front();
		}
	}

	RetryBudgetSettings m_settings;
	std::size_t m_members = 1;
	std::map<std::string, Counts> m_services;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H
