// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

/// @file
/// This gateway's share of a retry budget that all gateways have in common.

#ifndef BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H
#define BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H

#include "beacongate/types.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace beacongate
{
/// Limits on the retries of all gateways together at one service.
struct RetryBudgetSettings
{
	double ratio = 0.2;  ///< Retries allowed for each request.
	double slack = 50.0; ///< Further retries allowed in one window, over all gateways.
	Micros window = 10 * kSecond;
};

/// Counts requests and retries by service. The ratio applies to this gateway's own requests; the slack is divided
/// equally among the gateways.
class SharedRetryBudget
{
public:
	/// Share of the budget that is used at most, since windows slide and gateways restart.
	static constexpr double kUsableShare = 0.6;

	void configure(const RetryBudgetSettings& _settings)
	{
		m_settings = _settings;
	}

	/// Sets the number of gateways, including this one.
	void setMembers(std::size_t _members)
	{
		m_members = _members == 0 ? 1 : _members;
	}

	/// Counts a request that is sent for the first time.
	void onRequest(const std::string& _service, Micros _now)
	{
		m_services[_service].requests.push_back(_now);
	}

	/// @returns true if a retry may be sent now.
	bool allows(const std::string& _service, Micros _now)
	{
		Counts& counts = m_services[_service];
		forget(counts.requests, _now);
		forget(counts.retries, _now);
		const double share = m_settings.slack / static_cast<double>(m_members);
		const double room = m_settings.ratio * static_cast<double>(counts.requests.size()) + share;
		return static_cast<double>(counts.retries.size()) + 1.0 <= kUsableShare * room;
	}

	/// Counts a retry that is sent.
	void onRetry(const std::string& _service, Micros _now)
	{
		m_services[_service].retries.push_back(_now);
	}

private:
	struct Counts
	{
		std::deque<Micros> requests;
		std::deque<Micros> retries;
	};

	void forget(std::deque<Micros>& _times, Micros _now) const
	{
		while (!_times.empty() && _now - _times.front() > m_settings.window)
		{
			_times.pop_front();
		}
	}

	RetryBudgetSettings m_settings;
	std::size_t m_members = 1;
	std::map<std::string, Counts> m_services;
};

} // namespace beacongate

#endif // BEACONGATE_COORDINATION_SHAREDRETRYBUDGET_H
