// Copyright 2026 The beacongate authors.
// Licence: BSD-2-Clause, see LICENSE.

#include "soak/crashcheck.h"

#include "soak/disturbance.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace beacongate::soak
{
namespace
{
constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
/// Requests other than crashing ones that may be refused in error: a few, and a share of all.
constexpr double kFewRefused = 5.0;
constexpr double kRefusedShare = 1.0 / 500.0;
/// Least share of other requests that are served at undisturbed gateways once all crashing ones are stopped.
constexpr double kServedShare = 0.9;

/// @returns the times of the crashes by each request, in order.
std::map<std::string, std::vector<Micros>> crashTimes(const Observations& _seen)
{
	std::map<std::string, std::vector<Micros>> times;
	for (const ObservedCrash& crash : _seen.crashes)
	{
		if (!crash.content.empty())
		{
			times[crash.content].push_back(crash.at);
		}
	}
	for (auto& [content, crashes] : times)
	{
		std::sort(crashes.begin(), crashes.end());
	}
	return times;
}

std::string share(std::size_t _part, std::size_t _whole)
{
	return std::to_string(_part) + " of " + std::to_string(_whole);
}

void checkOthersRefused(const Observations& _seen, std::vector<Finding>& _findings)
{
	std::size_t others = 0;
	std::size_t refused = 0;
	for (const ObservedRequest& request : _seen.requests)
	{
		others += request.crashes ? 0 : 1;
		refused += !request.crashes && request.status == kBadRequest ? 1 : 0;
	}
	if (static_cast<double>(refused) > kFewRefused + kRefusedShare * static_cast<double>(others))
	{
		_findings.push_back(
			{Promise::ServedBesideCrash, share(refused, others) + " other requests were refused as crashing"});
	}
}

/// @returns when the last crashing request had to be stopped; kNever if one crashed too few servers.
Micros allStopped(const Observations& _seen)
{
	Micros stopped = 0;
	for (const auto& [content, times] : crashTimes(_seen))
	{
		const bool enough = times.size() >= _seen.bounds.crashesAllowed;
		stopped =
			std::max(stopped, enough ? times[_seen.bounds.crashesAllowed - 1] + _seen.bounds.contact : kNever);
	}
	return stopped == 0 ? kNever : stopped;
}

void checkOthersServed(const Observations& _seen, std::vector<Finding>& _findings)
{
	const Micros from = allStopped(_seen);
	std::size_t others = 0;
	std::size_t served = 0;
	for (const ObservedRequest& request : _seen.requests)
	{
		const Micros contact = _seen.bounds.contact;
		const bool counts =
			!request.crashes && from != kNever && request.sent >= from && request.connected &&
			request.status != kUnauthorized && // Callers use keys that were removed as well.
			ranThroughout(_seen, request.gateway, request.sent - contact, request.ended + contact) &&
			storeWorked(_seen, request.sent - contact, request.ended);
		others += counts ? 1 : 0;
		served += counts && request.status == kOk && request.complete ? 1 : 0;
	}
	if (static_cast<double>(served) < kServedShare * static_cast<double>(others))
	{
		_findings.push_back(
			{Promise::ServedBesideCrash,
			 "served " + share(served, others) + " other requests once crashing ones had to be stopped"});
	}
}
} // namespace

std::vector<CrashSummary> crashesOf(const Observations& _seen)
{
	std::unordered_map<std::string, unsigned> gateways;
	for (const ObservedRequest& request : _seen.requests)
	{
		gateways[request.id] = request.gateway;
	}
	std::vector<CrashSummary> summaries;
	for (const auto& [content, times] : crashTimes(_seen))
	{
		CrashSummary summary{content, times.size(), 0};
		const Micros contact = _seen.bounds.contact;
		const bool enough = times.size() >= _seen.bounds.crashesAllowed;
		const Micros limit = enough ? times[_seen.bounds.crashesAllowed - 1] + contact : kNever;
		for (const ObservedRun& run : _seen.runs)
		{
			const auto gateway = gateways.find(run.id);
			const bool late = run.content == content && run.began > limit && gateway != gateways.end();
			summary.lateSends +=
				late && ranThroughout(_seen, gateway->second, run.began - contact, run.began) ? 1 : 0;
		}
		summaries.push_back(summary);
	}
	return summaries;
}

void checkCrashes(const Observations& _seen, std::vector<Finding>& _findings)
{
	for (const CrashSummary& summary : crashesOf(_seen))
	{
		if (summary.lateSends > _seen.bounds.lateSends)
		{
			_findings.push_back({Promise::CrashingStopped,
								 summary.content + " crashed " + std::to_string(summary.crashes) +
									 " backend servers and was sent " + std::to_string(summary.lateSends) +
									 " times later than 3 s after the third one"});
		}
	}
	if (!_seen.crashes.empty())
	{
		checkOthersRefused(_seen, _findings);
		checkOthersServed(_seen, _findings);
	}
}

} // namespace beacongate::soak
